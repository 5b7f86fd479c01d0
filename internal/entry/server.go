package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

func (en *Entry) callerServer() *http.Server {
	server := &http.Server{
		// A ServeMux would redirect unclean paths, which targets must get unchanged.
		Handler:        en,
		MaxHeaderBytes: maxHeaderBytes,
	}
	en.callers.Attach(server)
	return server
}

// ServeHTTP handles one request of a caller.
func (en *Entry) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	ex := &exchange{writer: writer, request: req, started: en.now(), callMetadata: en.wire.ReadCall(req.Header)}
	if en.callers.Closing(req.Context()) {
		en.counters.countIncomplete(incompleteClosing)
		en.logger.Warn("request arrived on a connection that was being closed", "Request", ex.callMetadata.ID)
		panic(http.ErrAbortHandler)
	}
	en.open.add(ex)
	defer en.open.remove(ex)
	err := en.handler(ex)
	ex.duration = en.now().Sub(ex.started)
	outcome := outcomeOf(ex, err)
	en.counters.countRequest(ex, outcome)
	ex.incomplete = en.incompleteReason(ex, err)
	if ex.incomplete != "" {
		en.counters.countIncomplete(ex.incomplete)
	}
	en.logExchange(ex, outcome, err)
	if err != nil {
		en.writeRefusal(ex, err)
	}
}

// outcomeServed is the outcome of a request whose caller got an answer with a status below 400.
const outcomeServed = "Served"

func outcomeOf(ex *exchange, err error) string {
	switch {
	case err == nil && ex.status < http.StatusBadRequest:
		return outcomeServed
	case err == nil:
		return "TargetFailed"
	case errors.Is(err, errCallerGone):
		return "CallerGone"
	default:
		return string(chestnutroad.RefusalOf(err).Kind)
	}
}

func (en *Entry) logExchange(ex *exchange, outcome string, err error) {
	fields := []any{
		"Request", ex.callMetadata.ID, "Outcome", outcome, "Service", ex.service, "Status", ex.status,
		"TookMs", ex.duration.Milliseconds(), "Trail", ex.trail,
	}
	if ex.table != nil {
		fields = append(fields, "Version", ex.table.Version())
	}
	if ex.rule != nil {
		fields = append(fields, "Rule", ex.rule.Name)
	}
	if ex.team != nil {
		fields = append(fields, "Team", ex.team.Name)
	}
	if ex.choice.Entry.ID != "" {
		fields = append(fields, "Target", ex.choice.Entry.ID, "Load", ex.choice.Load, "Bound", ex.choice.Bound,
			"Preference", ex.choice.Preference, "Trial", ex.choice.Probe)
	}
	if fetch := &ex.choice.Fetch; fetch.Target != "" {
		fields = append(fields, "FetchFrom", fetch.Target, "FetchReason", fetch.Reason, "FetchTokens", fetch.Tokens)
	}
	if lc := &ex.choice.Locality; lc.Decided {
		fields = append(fields, "Left", lc.Leaves, "LeftReason", lc.Reason, "LeavingShare", lc.Share)
	}
	if limit := &ex.choice.Limit; limit.Limit > 0 {
		fields = append(fields, "LimitPerSecond", limit.Limit, "LimitSent", limit.Sent, "LimitWanted", limit.Wanted, "LimitShare", limit.Share)
	}
	if reached := max(ex.limitsReached, ex.choice.LimitsReached); reached > 0 {
		fields = append(fields, "LimitsReached", reached)
	}
	if ex.throttled != nil {
		fields = append(fields, "Class", ex.throttled.Class(), "RefusedShare", ex.throttled.RefusedShare, "WorkMs", int(1000*ex.work))
	}
	if ex.resumption.Basis != "" {
		fields = append(fields, "Resumes", ex.callMetadata.Resumes, "Basis", ex.resumption.Basis, "SoftwareVersion", ex.resumption.Version)
	}
	if len(ex.stalls) > 0 {
		fields = append(fields, "Stalls", ex.stalls)
	}
	if ex.targetCounts != nil {
		fields = append(fields, "Known", ex.targetCounts.Total, "Leaving", ex.targetCounts.Leaving, "Closed", ex.targetCounts.Unreachable,
			"Held", ex.targetCounts.Held)
		if ex.targetCounts.Evacuated > 0 {
			fields = append(fields, "Evacuated", ex.targetCounts.Evacuated)
		}
	}
	if ex.incomplete != "" {
		fields = append(fields, "Incomplete", ex.incomplete)
	}
	if ex.suspect != nil {
		name := "PartHash"
		if ex.suspect.Subject.Whole() {
			name = "RequestHash"
		}
		fields = append(fields, "Part", ex.suspect.Part, name, formatSubject(ex.suspect.Subject), "Crashes", ex.suspect.Crashes)
	}
	if err != nil {
		fields = append(fields, "Error", err)
	}
	logger := en.requestLog
	if outcome != outcomeServed {
		logger = en.logger
	}
	logger.Info("request", fields...)
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Kind    chestnutroad.Kind
	Message string
	NotRun  bool
	Request chestnutroad.RequestID
}

// writeRefusal answers with the refusal. It aborts the connection instead when a part of an answer was already sent, so
// that no caller takes the part for a complete answer, or when the caller disconnected.
func (en *Entry) writeRefusal(ex *exchange, err error) {
	if ex.incomplete != "" {
		panic(http.ErrAbortHandler)
	}
	refusal := chestnutroad.RefusalOf(err)
	body, err := json.Marshal(refusalBody{
		Kind: refusal.Kind, Message: refusal.Message, NotRun: refusal.NotRun, Request: ex.callMetadata.ID,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := ex.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if refusal.RetryAfter > 0 {
		en.wire.WriteRetryAfter(header, refusal.RetryAfter)
	}
	en.writeHead(ex, refusal.Kind.Answer().Status)
	_, _ = ex.writer.Write(body)
}

// writeHead sends the status and the headers of an answer. During a drain it asks the caller not to reuse the connection, also
// when the request arrived before the drain.
func (en *Entry) writeHead(ex *exchange, status int) {
	if en.stopping.Load() {
		ex.writer.Header().Set("Connection", "close")
	}
	ex.writer.WriteHeader(status)
}
