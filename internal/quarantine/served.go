package quarantine

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxServed limits the subjects remembered as served in each of two generations; a host of a site with 130 hosts serves
// some 1,000 different parts and 500 requests a minute.
const maxServed = 4096

// servedSubjects remembers the subjects that this host served within the last minute or two.
type servedSubjects struct {
	// recent holds the latest uses; older holds those of the generation before.
	recent, older map[chestnutroad.SubjectHash]time.Time
	startedAt     time.Time
}

func newServedParts() servedSubjects {
	return servedSubjects{recent: map[chestnutroad.SubjectHash]time.Time{}}
}

func (sp *servedSubjects) record(now time.Time, hash chestnutroad.SubjectHash) {
	if len(sp.recent) >= maxServed || now.Sub(sp.startedAt) >= provenWindow {
		sp.older, sp.recent, sp.startedAt = sp.recent, make(map[chestnutroad.SubjectHash]time.Time), now
	}
	sp.recent[hash] = now
}

// lastUse returns when the subject was last served, or the zero time when that is not known.
func (sp *servedSubjects) lastUse(hash chestnutroad.SubjectHash) time.Time {
	return later(sp.older[hash], sp.recent[hash])
}
