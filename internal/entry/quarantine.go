package entry

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

const (
	// trialRetryAfter is the Retry-After of a refused request while others with its part are admitted as trials. Targets crash
	// within about this time under a trial.
	trialRetryAfter = time.Second
	// staleConnWindow is the time within which a reused connection that ends without an answer had probably ended before the
	// request: it is a few round trips, while engines take at least as long to read a short prompt.
	staleConnWindow = 30 * time.Millisecond
	// progressEvents is the number of events after which a stream's request has not crashed its target. A target may end just
	// after it has sent the first event.
	progressEvents = 2
)

// features returns what the exchange's request may be suspected for.
func (ex *exchange) features() *quarantine.Request {
	return &quarantine.Request{Parts: ex.callMetadata.Parts, Fingerprint: ex.fingerprint}
}

// newFingerprint returns the fingerprint of the request, which is the same each time its caller sends it, at any host.
func (ex *exchange) newFingerprint() chestnutroad.SubjectHash {
	team := chestnutroad.TeamID("")
	if ex.team != nil {
		team = ex.team.Name
	}
	return quarantine.NewFingerprint(team, ex.request.URL.RequestURI(), ex.body)
}

// concludeQuarantined ends an exchange that must not be sent to a target, with the answer of an earlier one if there is one.
func (en *Entry) concludeQuarantined(ex *exchange, refusal error) error {
	if ex.failure != nil && !ex.answerStarted() {
		return en.deliver(ex, ex.failure)
	}
	return refusal
}

// checkQuarantine returns a refusal if the request, or a part of its prompt, is suspected of crashing targets, and nil otherwise.
func (en *Entry) checkQuarantine(ex *exchange) error {
	if en.settings.Without.Off(mechanism.Quarantine) {
		return nil
	}
	decision := en.state.checkQuarantine(en.now(), ex)
	if !decision.Refuse {
		return nil
	}
	ex.suspect = &decision
	message := "the request is suspected of crashing targets"
	if !decision.Subject.Whole() {
		message = fmt.Sprintf("prompt part %s is suspected of crashing targets", decision.Part)
	}
	if ex.progress.MayHaveRun || ex.answerStarted() {
		return en.failureRefusal(ex, message)
	}
	en.counters.quarantined.Inc()
	wait := decision.RetryAfter
	if wait <= 0 {
		wait = trialRetryAfter
	}
	return chestnutroad.Refuse(chestnutroad.Quarantined, message).WithRetryAfter(wait)
}

// recordCrash records that the target of the last send crashed before the request had made progress, and reports whether the
// request may be sent to another target.
func (en *Entry) recordCrash(ex *exchange, entry *chestnutroad.TargetEntry) (repeatable bool) {
	if en.settings.Without.Off(mechanism.Quarantine) {
		return true
	}
	accused, repeatable := en.state.recordCrash(en.now(), ex.features(), entry)
	en.counters.crashEvidence.Add(accused)
	return repeatable
}

// logSuspects logs the prompt parts and requests whose suspicion started or ended.
func (en *Entry) logSuspects(now time.Time) {
	for _, change := range en.state.suspectChanges(now) {
		source := "hosts"
		if len(change.Targets) > 0 && len(change.Targets) >= change.Crashes {
			source = "this host"
		}
		subject, field := "prompt part", "PartHash"
		if change.Subject.Whole() {
			subject, field = "request", "RequestHash"
		}
		fields := []any{field, formatSubject(change.Subject), "Crashes", change.Crashes, "Targets", change.Targets, "Source", source}
		if change.Suspected {
			en.logger.Warn(subject+" suspected of crashing targets", fields...)
			continue
		}
		en.logger.Info(subject+" no longer suspected of crashing targets", fields...)
	}
}

// formatSubject returns the hash of a subject as it stands in the log.
func formatSubject(subject chestnutroad.SubjectHash) string {
	return fmt.Sprintf("%016x", uint64(subject))
}

func (st *state) checkQuarantine(now time.Time, ex *exchange) quarantine.Decision {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.suspects.Check(now, ex.features(), ex.callMetadata.ID)
}

// recordCrash records a crash and returns the number of accused parts and whether the request may be sent to another target.
func (st *state) recordCrash(
	now time.Time, request *quarantine.Request, entry *chestnutroad.TargetEntry,
) (accused int, repeatable bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	accused = st.suspects.Crashed(now, request, entry)
	return accused, st.suspects.Repeatable(now, request)
}

// recordProgress records that a target made progress on the answer to a request with the parts.
func (st *state) recordProgress(now time.Time, request *quarantine.Request) {
	if st.disabled.Off(mechanism.Quarantine) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.Served(now, request)
}

// pendingEvidence returns the evidence about prompt parts to send to other hosts now.
func (st *state) pendingEvidence(now time.Time) []chestnutroad.CrashEvidence {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.suspects.Take(now)
}

// mergeEvidence merges the evidence about prompt parts that another host sent.
func (st *state) mergeEvidence(now time.Time, items []chestnutroad.CrashEvidence) {
	if len(items) == 0 || st.disabled.Off(mechanism.Quarantine) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.Merge(now, items)
}

func (st *state) suspectChanges(now time.Time) []quarantine.Change {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.suspects.Changes(now)
}

// suspectCount returns the number of prompt parts that are suspected.
func (st *state) suspectCount(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.suspects.SuspectCount(now)
}
