package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxPendingExceptions bounds the exceptions that wait to be sent. The older half is dropped at the limit; a lost
// exception costs only one prefill.
const maxPendingExceptions = 4096

// PlacementException records that a chat is not at its first target in rendezvous order. The owner sends it to the host
// that takes over after a crash; that host finds all other chats by rendezvous order alone.
type PlacementException struct {
	Chat   chestnutroad.ChatID
	Target chestnutroad.TargetID
}

// PopExceptions removes and returns up to limit waiting exceptions, the oldest first, for one control message.
func (ow *Owner) PopExceptions(limit int) []PlacementException {
	count := min(limit, len(ow.exceptions))
	popped := append([]PlacementException(nil), ow.exceptions[:count]...)
	ow.exceptions = append(ow.exceptions[:0], ow.exceptions[count:]...)
	return popped
}

// ApplyException records the placement from an exception that the shard's former owner sent.
func (ow *Owner) ApplyException(now time.Time, ex PlacementException) {
	if tg := ow.byID[ex.Target]; tg != nil {
		ow.table.put(now, ex.Chat, tg.location, 0)
	}
}

// recordException queues an exception when the chat's placement changes, or when a chat without one starts on another
// target than a new owner would choose.
func (ow *Owner) recordException(now time.Time, rq *request, tg *target) {
	en, found := ow.table.get(rq.Chat)
	if found && en.location == tg.location {
		return
	}
	if !found && ow.preferredTarget(now, rq.Chat) == tg {
		return
	}
	if len(ow.exceptions) >= maxPendingExceptions {
		ow.exceptions = append(ow.exceptions[:0], ow.exceptions[maxPendingExceptions/2:]...)
	}
	ow.exceptions = append(ow.exceptions, PlacementException{Chat: rq.Chat, Target: tg.id})
}

// preferredTarget returns the chat's first eligible target in rendezvous order at full weights.
func (ow *Owner) preferredTarget(now time.Time, chat chestnutroad.ChatID) *target {
	var best *target
	var bestScore rankScore
	for _, tg := range ow.targets {
		if !tg.eligible(now) {
			continue
		}
		if score := scoreOf(chat, tg.seed, 1); best == nil || bestScore.less(score) {
			best, bestScore = tg, score
		}
	}
	return best
}
