package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxPendingExceptions is the most exceptions that wait to be sent; the oldest are dropped, as they cost only one prefill each.
const maxPendingExceptions = 4096

// PlacementException says that a chat is not at its first target in rendezvous order. The owner tells the host that would take
// over after a crash, which finds all other chats by the order alone.
type PlacementException struct {
	Chat   chestnutroad.ChatID
	Target chestnutroad.TargetID
}

// PopExceptions takes up to that many waiting exceptions, the oldest first, for one control message.
func (ow *Owner) PopExceptions(most int) []PlacementException {
	count := min(most, len(ow.exceptions))
	taken := append([]PlacementException(nil), ow.exceptions[:count]...)
	ow.exceptions = append(ow.exceptions[:0], ow.exceptions[count:]...)
	return taken
}

// ApplyException records an exception that the shard's present owner sent.
func (ow *Owner) ApplyException(now time.Time, ex PlacementException) {
	if tg := ow.byID[ex.Target]; tg != nil {
		ow.table.put(now, ex.Chat, tg.location, 0)
	}
}

// recordException queues an exception when the chat starts away from the target that a new owner would choose.
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
	var first *target
	var best rankScore
	for _, tg := range ow.targets {
		if !tg.eligible(now) {
			continue
		}
		if score := scoreOf(chat, tg.seed, 1); first == nil || best.less(score) {
			first, best = tg, score
		}
	}
	return first
}
