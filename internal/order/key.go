package order

import (
	"cmp"

	"github.com/chestnutroad/chestnutroad"
)

// Key names an order across hosts.
type Key struct {
	Team chestnutroad.TeamID
	Key  chestnutroad.IdempotencyKey
}

func compareKeys(one, other Key) int {
	return cmp.Or(cmp.Compare(one.Team, other.Team), cmp.Compare(one.Key, other.Key))
}
