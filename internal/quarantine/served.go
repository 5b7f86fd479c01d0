package quarantine

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxServedParts limits the parts remembered as served in each of two generations; a host of a site with 130 hosts serves
// some 1,000 different parts a minute.
const maxServedParts = 4096

// servedParts remembers the parts that this host served within the last minute or two.
type servedParts struct {
	// recent holds the latest uses; older holds those of the generation before.
	recent, older map[chestnutroad.PartHash]time.Time
	startedAt     time.Time
}

func newServedParts() servedParts {
	return servedParts{recent: map[chestnutroad.PartHash]time.Time{}}
}

func (sp *servedParts) record(now time.Time, hash chestnutroad.PartHash) {
	if len(sp.recent) >= maxServedParts || now.Sub(sp.startedAt) >= provenWindow {
		sp.older, sp.recent, sp.startedAt = sp.recent, make(map[chestnutroad.PartHash]time.Time), now
	}
	sp.recent[hash] = now
}

// lastUse returns when the part was last served, or the zero time when that is not known.
func (sp *servedParts) lastUse(hash chestnutroad.PartHash) time.Time {
	return later(sp.older[hash], sp.recent[hash])
}
