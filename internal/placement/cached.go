package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// CachedAt returns the target at which the prompt part is in use and so probably cached, or an empty id.
func (pl *Pool) CachedAt(now time.Time, part string) chestnutroad.TargetID {
	if part == "" {
		return ""
	}
	if tg := pl.residences.lookup(now, partHash(part)); tg != nil {
		return tg.entry.ID
	}
	return ""
}
