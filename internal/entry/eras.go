package entry

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

var (
	// errNewEra reports that the store's era changed after the position from which a read resumed.
	errNewEra = errors.New("the store came back from an older copy")
	// errEarlierEra reports an answer of an earlier era than the latest one.
	errEarlierEra = errors.New("the store's answer is of an earlier era")
)

// eraTracker holds the latest era of the store that was observed in answers of the store or of other hosts.
type eraTracker struct {
	mu        sync.Mutex
	seen      bool
	latest    chestnutroad.Era
	increases uint64
}

// observe raises the latest era to a later one and reports whether the observed era is earlier than the latest.
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

// check observes the era of an answer that ends at next, and returns an error if the answer can't be used. When resumed is
// true, the read resumed at from rather than starting anew.
func (er *eraTracker) check(from, next chestnutroad.Position, resumed bool) error {
	if er.observe(next.Era) {
		return errors.Wrapf(errEarlierEra, "era %d", next.Era)
	}
	if resumed && next.Era != from.Era {
		return errors.Wrapf(errNewEra, "era %d", next.Era)
	}
	return nil
}

// count returns how often the latest era has increased since the host started; the first era does not count.
func (er *eraTracker) count() uint64 {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.increases
}

// current returns the latest era, or zero before the first one was observed.
func (er *eraTracker) current() chestnutroad.Era {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.latest
}
