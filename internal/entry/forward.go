package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/routing"
	"github.com/chestnutroad/chestnutroad/internal/target"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// result is how one send to a target ended.
type result struct {
	end attempt.End
	// done is true when the caller has the whole answer.
	done bool
	// failure is the target's own failure.
	failure *whole
	err     error
	outcome placement.Outcome
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to targets until one has answered or nothing more may be tried.
func (en *Entry) forward(ex *exchange) error {
	en.state.countRequest(ex.started, ex.service)
	ex.progress.Budget = func() bool {
		allowed := en.state.takeRetry(en.now(), ex.service)
		en.counters.retried(string(ex.service), allowed)
		return allowed
	}
	ex.ask.LongestPause = en.longestPause(ex)
	if ex.ask.Places && !en.state.admit(en.now(), &ex.ask) {
		en.countRefusal(ex, true)
		return en.overloaded(ex, "the service is overloaded")
	}
	for {
		choice, found := en.state.choose(en.now(), &ex.ask)
		en.countRefusal(ex, !found && choice.Full)
		if !found {
			return en.noTarget(ex, &choice)
		}
		ex.choice = choice
		en.counters.chosen(string(ex.service), &choice)
		sent := en.now()
		res := en.send(ex, &choice.Entry)
		en.logReach(&choice.Entry, en.state.finish(en.now(), choice.Entry.ID, res.outcome), res.err)
		en.counters.sent(string(ex.service), res.err)
		en.countEnd(ex, &res, en.now().Sub(sent))
		ex.trail = append(ex.trail, trailStep(&choice, &res, en.now().Sub(sent)))
		if res.done {
			return nil
		}
		if res.failure != nil {
			ex.failure = res.failure
		}
		if ex.request.Context().Err() != nil {
			return errors.Mark(res.err, errCallerGone)
		}
		step := en.next(ex, &choice, &res)
		if step == attempt.Retry {
			ex.ask.LongestPause = en.longestPause(ex)
			continue
		}
		return en.conclude(ex, step, &res)
	}
}

// longestPause returns the mean pause of a target's streams that the request can bear, or zero for a plain one.
func (en *Entry) longestPause(ex *exchange) time.Duration {
	if !ex.rule.Streaming {
		return 0
	}
	var longest time.Duration
	en.state.withPacing(ex.rule.Name, func(pc *pacing) {
		longest = pc.longestPause(ex.rule, ex.facts.Output, ex.left(en.now()))
	})
	return longest
}

// countRefusal counts a request once, with whether it was refused for want of a place.
func (en *Entry) countRefusal(ex *exchange, refused bool) {
	if len(ex.trail) > 0 {
		return
	}
	en.state.withPacing(ex.rule.Name, func(pc *pacing) { pc.returns.Asked(en.now(), refused) })
}

// countEnd takes in whether a send was answered in time. A stream counts with its first event, and a failure tells nothing
// of the time.
func (en *Entry) countEnd(ex *exchange, res *result, took time.Duration) {
	switch {
	case res.outcome == placement.Shed:
		en.state.ended(en.now(), ex.service, admission.Shed)
	case !ex.rule.Streaming && res.done:
		en.state.ended(en.now(), ex.service, ex.endOf(took))
	}
}

// endOf returns how an answer that took so long counts. One that is late from a target at which nothing waits tells of a
// slow target rather than of a lack of room: fewer requests would be late as well.
func (ex *exchange) endOf(took time.Duration) admission.End {
	if took <= ex.rule.LatencyTarget || ex.reported.HasLoad && ex.reported.Waiting == 0 {
		return admission.InTime
	}
	return admission.Late
}

// logReach writes a line when it changed whether a target or its data centre can be reached.
func (en *Entry) logReach(entry *chestnutroad.TargetEntry, change placement.Reach, err error) {
	if change.TargetLost {
		en.logger.Info("target can't be reached", "Target", entry.ID, "Service", entry.Service,
			"Address", entry.Address, "TargetCentre", entry.DataCentre, "Error", err)
	}
	if change.CentreLost {
		en.logger.Warn("data centre can't be reached", "TargetCentre", entry.DataCentre, "Target", entry.ID, "Error", err)
	}
	if change.TargetBack {
		en.logger.Info("target can be reached again", "Target", entry.ID, "Service", entry.Service, "TargetCentre", entry.DataCentre)
	}
	if change.CentreBack {
		en.logger.Info("data centre can be reached again", "TargetCentre", entry.DataCentre, "Target", entry.ID)
	}
}

func trailStep(choice *placement.Choice, res *result, took time.Duration) string {
	text := string(choice.Entry.ID) + " " + strconv.FormatInt(took.Milliseconds(), 10) + "ms"
	if res.err != nil {
		text += " " + res.err.Error()
	}
	return text
}

// next takes the result into the exchange's progress and returns what follows.
func (en *Entry) next(ex *exchange, choice *placement.Choice, res *result) attempt.Step {
	ex.ask.Excluded = append(ex.ask.Excluded, choice.Entry.ID)
	pr := &ex.progress
	if res.end == attempt.NotSent {
		pr.Dials++
	} else {
		pr.Sent++
	}
	pr.MayHaveRun = pr.MayHaveRun || res.end == attempt.Broken || res.end == attempt.TargetFailed
	pr.Left = ex.left(en.now())
	pr.Targets = true
	return attempt.Next(res.end, pr)
}

const (
	// overloadReturn is when a caller should come back that no target had room for; half of a plain call's patience.
	overloadReturn = 150 * time.Millisecond
	// noTargetReturn is when a caller should come back to a service without targets.
	noTargetReturn = 500 * time.Millisecond
)

// noTarget concludes an exchange for which no target is left.
func (en *Entry) noTarget(ex *exchange, choice *placement.Choice) error {
	if ex.failure != nil && !ex.delivered() {
		return en.deliver(ex, ex.failure)
	}
	if ex.progress.MayHaveRun || ex.delivered() {
		return en.failed(ex, "no further target is left")
	}
	if choice.Full {
		return en.overloaded(ex, "no target has a place")
	}
	census := en.state.census(en.now(), ex.service)
	ex.census = &census
	if choice.Wait > 0 {
		return chestnutroad.Refuse(chestnutroad.NoTarget, "all targets turned requests away for a time").After(choice.Wait)
	}
	return chestnutroad.Refuse(chestnutroad.NoTarget, "no target is left").After(noTargetReturn)
}

// overloaded refuses a request that its service has no room for.
func (en *Entry) overloaded(ex *exchange, message string) error {
	wait := overloadReturn
	if en.settings.Without.Off(mechanism.Returns) {
		return chestnutroad.Refuse(chestnutroad.Overloaded, message).After(wait)
	}
	en.state.withPacing(ex.rule.Name, func(pc *pacing) {
		wait = pc.returns.After(en.now(), ex.left(en.now()), draw(ex.facts.ID))
	})
	return chestnutroad.Refuse(chestnutroad.Overloaded, message).After(wait)
}

func (en *Entry) failed(ex *exchange, message string) error {
	if ex.rule.Streaming {
		return chestnutroad.Refuse(chestnutroad.StreamBroken, message)
	}
	if ex.left(en.now()) <= 0 {
		return chestnutroad.Refuse(chestnutroad.DeadlineExceeded, message)
	}
	return chestnutroad.Refuse(chestnutroad.BadAnswer, message)
}

func (en *Entry) conclude(ex *exchange, step attempt.Step, res *result) error {
	if ex.failure != nil && !ex.delivered() {
		return en.deliver(ex, ex.failure)
	}
	if step == attempt.Refuse {
		if res.outcome == placement.Shed && ex.ask.Places {
			return en.overloaded(ex, res.err.Error())
		}
		refusal := chestnutroad.Refuse(chestnutroad.TargetRefused, res.err.Error())
		return refusal.After(max(overloadReturn, en.state.soonestReturn(en.now(), ex.service)))
	}
	return en.failed(ex, res.err.Error())
}

// deliver passes a whole answer on.
func (en *Entry) deliver(ex *exchange, an *whole) error {
	copyHeader(ex.writer.Header(), an.header)
	ex.writer.Header().Set("Content-Length", strconv.Itoa(len(an.body)))
	ex.status = an.status
	ex.writer.WriteHeader(an.status)
	if ex.request.Method == http.MethodHead {
		return nil
	}
	// A caller may read slowly, as long as it does read.
	for part := range slices.Chunk(an.body, writePart) {
		_ = http.NewResponseController(ex.writer).SetWriteDeadline(en.now().Add(writeTimeout))
		if _, err := ex.writer.Write(part); err != nil {
			return errors.Mark(err, errCallerGone)
		}
	}
	return nil
}

// writePart is the number of bytes that a caller has to take in within the time of a write.
const writePart = 64 << 10

func copyHeader(to, from http.Header) {
	for name, values := range target.Forwardable(from) {
		to[name] = values
	}
}

// trialDialTimeout bounds the connection of a request that finds out whether a target can be reached again: kept ones may
// be dead, and a plain request that is due within 120 ms must still have time for another target.
const trialDialTimeout = 50 * time.Millisecond

// send sends the request to one target and passes the answer on.
func (en *Entry) send(ex *exchange, entry *chestnutroad.TargetEntry) result {
	ctx, cancel := context.WithDeadline(ex.request.Context(), ex.deadline)
	defer cancel()
	silence := newSilenceTimer(cancel, en.firstWait(ex, en.now()))
	defer silence.stop()
	ex.stream.heardAt, ex.stream.begun = en.now(), false
	defer en.countSilence(ex, silence)
	request := en.targetRequest(ex, entry)
	request.Fresh = ex.choice.Fresh
	if ex.choice.Trial {
		request.Fresh, request.DialTimeout = true, trialDialTimeout
	}
	an, err := en.targets.Exchange(ctx, request)
	if err != nil {
		return failedSend(err, ex.request.Context().Err() != nil)
	}
	defer an.Close()
	facts := en.wire.ReadAnswer(an.Status, an.Header)
	en.takeFacts(entry, &facts)
	ex.reported = facts
	if ex.rule.Streaming && an.Status == http.StatusOK && facts.Receipt && an.Header.Get("Content-Encoding") == "" {
		return en.passStream(ex, an, silence)
	}
	return en.passWhole(ex, an, &facts)
}

// takeFacts takes in what a target's answer says of the target.
func (en *Entry) takeFacts(entry *chestnutroad.TargetEntry, facts *chestnutroad.AnswerFacts) {
	now := en.now()
	en.state.reported(now, entry.ID, facts)
	if facts.WrongTarget || !en.state.noted(now, entry, facts) {
		return
	}
	en.logger.Info("target wants no requests", "Target", entry.ID, "Service", entry.Service, "Address", entry.Address,
		"Leaving", facts.Leaving, "For", facts.RetryAfter)
}

// failedSend returns how a send without an answer ended; one whose caller left tells nothing of the target.
func failedSend(err error, callerGone bool) result {
	res := result{end: attempt.Broken, err: err, outcome: placement.Failed}
	var notSent *targetconn.NotSentError
	if errors.As(err, &notSent) {
		res.end, res.outcome = attempt.NotSent, placement.Unreachable
	}
	if errors.Is(err, targetconn.ErrStaleConn) {
		res.outcome = placement.Dropped
	}
	if callerGone {
		res.outcome = placement.Unknown
	}
	return res
}

func (en *Entry) targetRequest(ex *exchange, entry *chestnutroad.TargetEntry) *targetconn.Request {
	orders := chestnutroad.CallOrders{
		Target: entry.ID, Remaining: ex.left(en.now()), ResumeAfter: ex.stream.lastID,
	}
	if ex.team != nil {
		orders.Team = ex.team.Name
	}
	if spec := ex.table.Service(ex.service); spec != nil && spec.Engine != nil {
		orders.Rank, orders.HasRank = routing.Rank(ex.rule, ex.team), true
	}
	header := target.Forwardable(ex.request.Header)
	en.wire.WriteCall(header, &orders)
	return &targetconn.Request{
		Address: entry.Address,
		Method:  ex.request.Method,
		URI:     ex.request.RequestURI,
		Host:    ex.request.Host,
		Header:  header,
		Body:    ex.body,
		HasBody: ex.request.ContentLength != 0,
		// An answer to a request without an id can't be told from a late one to another such request.
		SingleUse: ex.facts.ID == "",
		Matches: func(status int, header http.Header) bool {
			return en.wire.ReadAnswer(status, header).ID == ex.facts.ID
		},
	}
}

// maxWhole bounds the memory of an answer that is passed on whole.
const maxWhole = 8 << 20

var (
	errRefusedByTarget = errors.New("the target did not run the request")
	errWrongTarget     = errors.New("another target has the address")
	errTargetFailed    = errors.New("the target failed the request")
	errNoReceipt       = errors.New("the answer has no receipt")
	errEncoded         = errors.New("the answer has an encoding")
	errCutOff          = errors.New("the answer is not complete")
)

// sendReasons name the ends of sends in the metrics.
var sendReasons = []struct {
	err  error
	name string
}{
	{errRefusedByTarget, "Refused"},
	{errWrongTarget, "WrongTarget"},
	{errTargetFailed, "Failed"},
	{errNoReceipt, "NoReceipt"},
	{errEncoded, "Encoded"},
	{errCutOff, "CutOff"},
	{errEventTooLong, "EventTooLong"},
	{errCallerGone, "CallerGone"},
	{targetconn.ErrBadAnswer, "BadAnswer"},
}

// sendReason returns the name of a send's end, from a closed list, so that the metrics stay few.
func sendReason(err error) string {
	var notSent *targetconn.NotSentError
	if errors.As(err, &notSent) {
		return "NotSent"
	}
	for _, reason := range sendReasons {
		if errors.Is(err, reason.err) {
			return reason.name
		}
	}
	return "Broken"
}

// passWhole reads an answer to its end before it passes it on, so that a part of one never reaches the caller.
func (en *Entry) passWhole(ex *exchange, an *targetconn.Answer, facts *chestnutroad.AnswerFacts) result {
	held := en.buffered.reader(io.LimitReader(an.Body, maxWhole+1))
	defer held.release()
	body, err := io.ReadAll(held)
	switch {
	case facts.WrongTarget:
		return result{end: attempt.NotRun, err: errWrongTarget, outcome: placement.Replaced}
	case facts.NotRun:
		if err == nil {
			an.Release()
		}
		return result{end: attempt.NotRun, err: errRefusedByTarget, outcome: placement.Shed}
	case err != nil || len(body) > maxWhole:
		return result{end: attempt.Broken, err: errCutOff, outcome: placement.Failed}
	case an.Header.Get("Content-Encoding") != "":
		return result{end: attempt.Broken, err: errEncoded, outcome: placement.Failed}
	case an.Status < http.StatusBadRequest && !facts.Receipt:
		return result{end: attempt.Broken, err: errNoReceipt, outcome: placement.Failed}
	case promises(an.Status):
		// Passed on, the status would promise that the request has not run, which the target did not state.
		return result{end: attempt.Broken, err: errTargetFailed, outcome: placement.Failed}
	}
	answer := &whole{status: an.Status, header: an.Header, body: body}
	an.Release()
	if an.Status >= http.StatusInternalServerError {
		return result{end: attempt.TargetFailed, failure: answer, err: errTargetFailed, outcome: placement.Failed}
	}
	if err := en.deliver(ex, answer); err != nil {
		return result{end: attempt.Broken, err: err, outcome: placement.Served}
	}
	return result{done: true, outcome: placement.Served}
}

// promises reports whether a status says to callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
