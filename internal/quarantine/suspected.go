package quarantine

import "time"

// Suspected reports whether the request or a shared part of its prompt is suspected of crashing targets, also when the request is
// admitted as a trial.
func (tr *Tracker) Suspected(now time.Time, rq *Request) bool {
	for _, ft := range rq.features() {
		if sb := tr.subjects[ft.hash]; sb != nil && tr.isSuspect(now, sb) {
			return true
		}
	}
	return false
}
