package caller

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// answerWriter passes a target's answer to the caller and completes it.
type answerWriter interface {
	chestnutroad.Answer
	// finish is called once, after the whole answer has arrived.
	finish() error
}

// forwardedHeaders are the caller's headers that a target receives.
var forwardedHeaders = []string{
	"Accept", "Content-Type", "Content-Digest", "Idempotency-Key", "Traceparent", "Tracestate", "Accept-Language",
}

// forward ends the chain: it hands the call to the forwarder and the answer to the caller.
func (sv *Server) forward(ex *Exchange) error {
	call, err := newCall(ex)
	if err != nil {
		return chestnutroad.Refuse(chestnutroad.BadRequest, err.Error())
	}
	answer := sv.answerFor(ex)
	if err := sv.forwarder.Forward(ex.HTTP.Context(), &ex.Request, call, answer); err != nil {
		return callerError(ex, err)
	}
	return answer.finish()
}

// newCall describes what is sent to the target.
func newCall(ex *Exchange) (*chestnutroad.Call, error) {
	header := make(http.Header, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
		if values := ex.HTTP.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	body := ex.Body
	if ex.Chat != nil && !ex.Chat.Stream {
		streamed, err := streamedBody(ex.Body)
		if err != nil {
			return nil, errors.Wrap(err, "rewrite the chat request")
		}
		body = streamed
	}
	return &chestnutroad.Call{
		Request: ex.Request.ID,
		Method:  ex.HTTP.Method,
		Path:    ex.HTTP.URL.RequestURI(),
		Header:  header,
		Body:    body,
		Repeat:  ex.Route.Repeat,
	}, nil
}

// answerFor returns the writer for the form of answer that the caller asked for.
func (sv *Server) answerFor(ex *Exchange) answerWriter {
	out := newOutput(ex, sv.writeTimeout)
	switch {
	case ex.Chat == nil:
		return &plainAnswer{out: out}
	case ex.Chat.Stream:
		return &streamAnswer{out: out}
	default:
		return &wholeAnswer{out: out}
	}
}

// callerError names the failure for the caller. A caller that went away has no use for an answer; the log has.
func callerError(ex *Exchange, err error) error {
	var refusal *chestnutroad.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(ex.HTTP.Context().Err(), context.DeadlineExceeded) {
		return deadlineRefusal(ex)
	}
	return err
}

// deadlineRefusal says that the outcome is unknown for a call that may not be repeated.
func deadlineRefusal(ex *Exchange) *chestnutroad.Refusal {
	if ex.Route.Repeat == chestnutroad.RepeatAllowed {
		return chestnutroad.Refuse(chestnutroad.DeadlineExceeded, "the deadline passed before the answer was complete")
	}
	return chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the deadline passed while the call was running")
}
