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

// chain lists the filters in the order in which a request passes them.
func (en *Entry) chain() filter {
	filters := []func(next filter) filter{
		en.takeTable,
		en.findRule,
		en.identifyTeam,
		en.readBody,
		en.setDeadline,
		en.finishBeforeStop,
	}
	handler := filter(en.forward)
	for index := len(filters) - 1; index >= 0; index-- {
		handler = filters[index](handler)
	}
	return handler
}

// notReadyReturn is when a caller should come back to a host that has just started; reading the store takes some ms.
const notReadyReturn = 300 * time.Millisecond

func (en *Entry) takeTable(next filter) filter {
	return func(ex *exchange) error {
		ex.table = en.state.table.Load()
		if ex.table == nil {
			return chestnutroad.Refuse(chestnutroad.NotReady, "no configuration has been read yet").After(notReadyReturn)
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
		ex.service = routing.PickService(ex.rule, draw(ex.facts.ID))
		return next(ex)
	}
}

// draw returns a number from 0 to 1 that is the same for each send of a request.
func draw(id chestnutroad.RequestID) float64 {
	return float64(chestnutroad.HashID(string(id))>>11) / (1 << 53)
}

func (en *Entry) identifyTeam(next filter) filter {
	return func(ex *exchange) error {
		ex.team = ex.table.Team(ex.facts.Key)
		if ex.team == nil && !ex.rule.Anonymous {
			return chestnutroad.Refuse(chestnutroad.Unauthenticated, "the key is missing or unknown")
		}
		return next(ex)
	}
}

// bodyTimeout bounds the time that a caller may take to send its body.
const bodyTimeout = 10 * time.Second

// errCallerGone ends an exchange whose caller can't receive an answer.
var errCallerGone = errors.New("the caller is gone")

func (en *Entry) readBody(next filter) filter {
	return func(ex *exchange) error {
		limit := int64(ex.table.Limits().BodyBytes)
		_ = http.NewResponseController(ex.writer).SetReadDeadline(ex.started.Add(bodyTimeout))
		held := en.buffered.reader(http.MaxBytesReader(ex.writer, ex.request.Body, limit))
		defer held.release()
		body, err := io.ReadAll(held)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return chestnutroad.Refuse(chestnutroad.TooLarge, "the body is over the limit")
		}
		if errors.Is(err, errBuffersFull) {
			return chestnutroad.Refuse(chestnutroad.Overloaded, "the host has no memory for the body").After(overloadReturn)
		}
		if err != nil {
			return errors.Mark(err, errCallerGone)
		}
		_ = http.NewResponseController(ex.writer).SetReadDeadline(time.Time{})
		ex.body = body
		return next(ex)
	}
}

func (en *Entry) setDeadline(next filter) filter {
	return func(ex *exchange) error {
		budget := ex.rule.Timeout
		if ex.facts.Budget > 0 && (budget <= 0 || ex.facts.Budget < budget) {
			budget = ex.facts.Budget
		}
		ex.deadline = ex.started.Add(budget)
		ex.progress = attempt.State{Repeat: ex.rule.Repeat, MaxSends: ex.rule.MaxAttempts}
		ex.ask = placement.Request{
			Service: ex.service, Model: ex.facts.Model, ID: ex.facts.ID, Affinity: sharedPart(ex.facts.Parts),
			Rank: routing.Rank(ex.rule, ex.team), SharedTokens: sharedTokens(ex.facts.Parts), MaxOutputTokens: ex.facts.Output,
		}
		ex.ask.Precedence = en.standing(ex)
		if spec := ex.table.Service(ex.service); spec != nil && spec.Engine != nil {
			ex.ask.RequireSlot = !en.settings.Without.Off(mechanism.Places)
		}
		return next(ex)
	}
}

// stoppingReturn is when a caller should come back, to another host, that sent its request too late in a stop.
const stoppingReturn = 50 * time.Millisecond

// finishBeforeStop refuses a request that the end of a stop may cut off. It answers callers whose last answer had begun
// before the stop, so that it did not tell them to close the connection.
func (en *Entry) finishBeforeStop(next filter) filter {
	return func(ex *exchange) error {
		ends := time.Duration(en.endsAt.Load())
		if ends > 0 && ex.left(en.now()) > ends-en.elapsed() {
			return chestnutroad.Refuse(chestnutroad.NotReady, "the host may stop before the answer has ended").After(stoppingReturn)
		}
		return next(ex)
	}
}

// sharedPart returns the id of the last part that a prompt shares with other requests: the part before its own.
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

// sharedTokens returns the number of tokens of the parts that a prompt shares with other requests.
func sharedTokens(parts []chestnutroad.PromptPart) chestnutroad.Tokens {
	sum := chestnutroad.Tokens(0)
	for index := range len(parts) - 1 {
		sum += parts[index].Tokens
	}
	return sum
}
