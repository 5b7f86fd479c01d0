package entry

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// openRequests holds the exchanges that are being handled, so that a stop can log those that it cuts off.
type openRequests struct {
	mu        sync.Mutex
	exchanges map[*exchange]bool
}

func newOpenRequests() *openRequests { return &openRequests{exchanges: map[*exchange]bool{}} }

func (or *openRequests) add(ex *exchange) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.exchanges[ex] = true
}

func (or *openRequests) remove(ex *exchange) {
	or.mu.Lock()
	defer or.mu.Unlock()
	delete(or.exchanges, ex)
}

func (or *openRequests) count() int {
	or.mu.Lock()
	defer or.mu.Unlock()
	return len(or.exchanges)
}

// list returns the open exchanges, the oldest first.
func (or *openRequests) list() []*exchange {
	or.mu.Lock()
	defer or.mu.Unlock()
	list := make([]*exchange, 0, len(or.exchanges))
	for ex := range or.exchanges {
		list = append(list, ex)
	}
	slices.SortFunc(list, func(one, two *exchange) int { return one.started.Compare(two.started) })
	return list
}

// logCutOff logs each open request, which ends without a complete answer when the host stops.
func (en *Entry) logCutOff() {
	list := en.open.list()
	en.logger.Warn("cutting off requests at the end of the grace period", "Open", len(list))
	for _, ex := range list {
		en.logger.Warn("request was cut off", "Request", ex.callMetadata.ID, "OpenMs", en.now().Sub(ex.started).Milliseconds())
	}
}

// The reasons for which the connection of a request ends without a complete answer.
const (
	// incompleteClosing is a request that arrived while its connection was being closed as idle; it was not forwarded.
	incompleteClosing = "ConnectionClosing"
	// incompleteStop is an answer that the end of the grace period cut off.
	incompleteStop = "Stop"
	// incompleteCallerGone is an answer whose caller disconnected, or accepted no bytes for the write timeout.
	incompleteCallerGone = "CallerGone"
	// incompleteBroken is an answer of which a part was sent and that no target completed.
	incompleteBroken = "StreamBroken"
)

// incompleteReason returns why the caller got no complete answer, or an empty string if it gets one.
func (en *Entry) incompleteReason(ex *exchange, err error) string {
	callerGone := errors.Is(err, errCallerGone)
	switch {
	case err == nil, !callerGone && !ex.answerStarted():
		return ""
	case en.cutOff.Load():
		return incompleteStop
	case callerGone:
		return incompleteCallerGone
	default:
		return incompleteBroken
	}
}
