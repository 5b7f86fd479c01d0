package entry

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

var (
	// errNewEra ends a read that goes on from a position of an earlier era than the answer's.
	errNewEra = errors.New("the store came back from an older copy")
	// errEarlierEra ends a read whose answer is of an earlier era than one that the host has met.
	errEarlierEra = errors.New("the store's answer is of an earlier era")
)

// eraTracker is the latest era of the store that a host has met, in an answer of the store or at another host.
type eraTracker struct {
	mu     sync.Mutex
	seen  bool
	latest chestnutroad.Era
	increases    uint64
}

// observe takes in an era and reports whether it is an earlier one than the latest.
func (er *eraTracker) observe(era chestnutroad.Era) (earlier bool) {
	er.mu.Lock()
	defer er.mu.Unlock()
	if !er.seen {
		er.seen, er.latest = true, era
	}
	if era > er.latest {
		er.latest = era
		er.increases++
	}
	return era < er.latest
}

// check takes in the era of an answer that goes up to next and reports why it can't be used. When known is true, the read
// went on from the position.
func (er *eraTracker) check(from, next chestnutroad.Position, known bool) error {
	if er.observe(next.Era) {
		return errors.Wrapf(errEarlierEra, "era %d", next.Era)
	}
	if known && next.Era != from.Era {
		return errors.Wrapf(errNewEra, "era %d", next.Era)
	}
	return nil
}

// count returns the number of eras that the host has met since it started.
func (er *eraTracker) count() uint64 {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.increases
}

// current returns the latest era.
func (er *eraTracker) current() chestnutroad.Era {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.latest
}
