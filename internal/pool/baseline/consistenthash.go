package baseline

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// consistentHash picks the first target in rendezvous order; a call without a chat is hashed by its request id.
type consistentHash struct{ ignoreEvents }

func newConsistentHash(Setup) pool.Policy { return newRouter(&consistentHash{}) }

func (ch *consistentHash) choose(_ time.Time, rn *runningRequest, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	chat := rn.Chat
	if chat == 0 {
		chat = chestnutroad.ChatID(xxhash.Sum64String(string(rn.ID)))
	}
	return pool.FirstTarget(chat, targets)
}
