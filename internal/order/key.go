package order

import (
	"cmp"

	"github.com/chestnutroad/chestnutroad"
)

// Key identifies an order on all hosts.
type Key struct {
	Team chestnutroad.TeamID
	Key  chestnutroad.IdempotencyKey
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}
