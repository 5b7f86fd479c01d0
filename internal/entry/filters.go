package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/routing"
)

// filter handles an exchange or passes it to the next filter.
type filter func(ex *exchange) error

// chain combines the filters, in the order in which a request passes them, with forward as the last step.
func (en *Entry) chain() filter {
	filters := []func(next filter) filter{
		en.loadTable,
		en.findRule,
		en.identifyTeam,
		en.readBody,
		en.setDeadline,
		en.checkCutOff,
		en.pinVersion,
	}
	handler := filter(en.forward)
	for index := len(filters) - 1; index >= 0; index-- {
		handler = filters[index](handler)
	}
	return handler
}

// notReadyRetryAfter is the Retry-After of a host that has just started; reading the store takes several milliseconds.
const notReadyRetryAfter = 300 * time.Millisecond

// loadTable sets the routing table that the exchange uses throughout.
func (en *Entry) loadTable(next filter) filter {
	return func(ex *exchange) error {
		ex.table = en.state.table.Load()
		if ex.table == nil {
			return chestnutroad.Refuse(chestnutroad.NotReady, "no configuration has been read yet").WithRetryAfter(notReadyRetryAfter)
		}
		return next(ex)
	}
}

func (en *Entry) findRule(next filter) filter {
	return func(ex *exchange) error {
		ex.rule = ex.table.Rule(ex.request.Host, ex.request.URL.EscapedPath())
		if ex.rule == nil {
			return chestnutroad.Refuse(chestnutroad.UnknownService, "no rule matches the host name and path")
		}
		ex.service = routing.PickService(ex.rule, hashFraction(ex.routingID()))
		return next(ex)
	}
}

// routingID returns the id by which a rule with several services picks one. A resumed stream stays with the service at which it began.
func (ex *exchange) routingID() chestnutroad.RequestID {
	if ex.callMetadata.LastEvent != "" && ex.callMetadata.Resumes != "" {
		return ex.callMetadata.Resumes
	}
	return ex.callMetadata.ID
}

// hashFraction maps a request's id to a number from 0 to below 1, which is the same for each send of the request.
func hashFraction(id chestnutroad.RequestID) float64 {
	return float64(chestnutroad.HashID(string(id))>>11) / (1 << 53)
}

func (en *Entry) identifyTeam(next filter) filter {
	return func(ex *exchange) error {
		ex.team = ex.table.Team(ex.callMetadata.Key)
		if ex.team == nil && !ex.rule.Anonymous {
			return chestnutroad.Refuse(chestnutroad.Unauthenticated, "the key is missing or unknown")
		}
		return next(ex)
	}
}

// bodyTimeout bounds the time from the start of a request to the end of its body.
const bodyTimeout = 10 * time.Second

// errCallerGone marks the end of an exchange whose caller can't receive an answer.
var errCallerGone = errors.New("the caller disconnected")

func (en *Entry) readBody(next filter) filter {
	return func(ex *exchange) error {
		limit := int64(ex.table.Limits().BodyBytes)
		_ = http.NewResponseController(ex.writer).SetReadDeadline(ex.started.Add(bodyTimeout))
		reader := en.bufferBudget.reader(http.MaxBytesReader(ex.writer, ex.request.Body, limit))
		defer reader.release()
		body, err := io.ReadAll(reader)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return chestnutroad.Refuse(chestnutroad.TooLarge, "the body is over the limit")
		}
		if errors.Is(err, errBuffersFull) {
			return chestnutroad.Refuse(chestnutroad.Overloaded, "the host has no memory for the body").WithRetryAfter(overloadRetryAfter)
		}
		if err != nil {
			return errors.Mark(err, errCallerGone)
		}
		_ = http.NewResponseController(ex.writer).SetReadDeadline(time.Time{})
		ex.body = body
		return next(ex)
	}
}

// setDeadline sets the deadline, and what the choice of targets and the retries of the exchange depend on.
func (en *Entry) setDeadline(next filter) filter {
	return func(ex *exchange) error {
		budget := ex.rule.Timeout
		if ex.callMetadata.Budget > 0 && (budget <= 0 || ex.callMetadata.Budget < budget) {
			budget = ex.callMetadata.Budget
		}
		ex.deadline = ex.started.Add(budget)
		ex.fingerprint = ex.newFingerprint()
		if ex.rule.Streaming && ex.rule.Repeat == chestnutroad.RepeatAllowed {
			// A target that ignores the last event of a resumed stream repeats events that the caller has.
			ex.stream.lastID = ex.callMetadata.LastEvent
		}
		ex.progress = attempt.State{Repeat: ex.rule.Repeat, MaxSends: ex.rule.MaxAttempts}
		ex.criteria = placement.Request{
			Service: ex.service, Model: ex.callMetadata.Model, ID: ex.callMetadata.ID, Affinity: sharedPart(ex.callMetadata.Parts),
			Rank: routing.Rank(ex.rule, ex.team), SharedTokens: sharedTokens(ex.callMetadata.Parts), MaxOutputTokens: ex.callMetadata.Output,
		}
		ex.criteria.AllowedRegions, ex.criteria.Restricted = routing.AllowedRegions(ex.rule, ex.team)
		ex.criteria.Traffic = ex.traffic()
		ex.criteria.Precedence = en.dropPrecedence(ex)
		if spec := ex.table.Service(ex.service); spec != nil && spec.Engine != nil {
			ex.criteria.RequireSlot = !en.settings.Without.Off(mechanism.SlotLimit)
			ex.setFetchProfile(en.settings.KVFetch, spec.Engine)
		}
		return next(ex)
	}
}

// stoppingRetryAfter is the Retry-After of a request that came too late in a shutdown; its caller retries at another host.
const stoppingRetryAfter = 50 * time.Millisecond

// checkCutOff refuses a request whose deadline is later than the end of a shutdown, which might cut it off. Such a request
// comes on a connection whose previous answer began before the shutdown and so did not carry Connection: close.
func (en *Entry) checkCutOff(next filter) filter {
	return func(ex *exchange) error {
		cutOff := time.Duration(en.cutOffAt.Load())
		if cutOff > 0 && ex.remaining(en.now()) > cutOff-en.elapsed() {
			return chestnutroad.Refuse(chestnutroad.NotReady, "the host may stop before the answer has ended").WithRetryAfter(stoppingRetryAfter)
		}
		return next(ex)
	}
}

// sharedPart returns the id of the last part that a prompt shares with other requests: the part before its own, or the
// only part of a prompt.
func sharedPart(parts []chestnutroad.PromptPart) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	default:
		return parts[len(parts)-2].ID
	}
}

// sharedTokens returns the number of tokens that a prompt shares with other requests: those of all parts but the last.
func sharedTokens(parts []chestnutroad.PromptPart) chestnutroad.Tokens {
	sum := chestnutroad.Tokens(0)
	for index := range len(parts) - 1 {
		sum += parts[index].Tokens
	}
	return sum
}
