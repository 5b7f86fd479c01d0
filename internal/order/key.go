package order

import "github.com/chestnutroad/chestnutroad"

// Key names an order across hosts.
type Key struct {
	Team chestnutroad.TeamID
	Key  chestnutroad.IdempotencyKey
}
