package caller

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// answerWriter passes a target's answer to the caller as a plain answer, a stream of events or one buffered document.
type answerWriter interface {
	chestnutroad.Answer
	// finish is called once, after the complete answer has arrived.
	finish() error
}

// forwardedHeaders are the caller's headers that are sent to the target.
var forwardedHeaders = []string{
	"Accept", "Content-Type", "Content-Digest", "Idempotency-Key", "Traceparent", "Tracestate", "Accept-Language",
}

// forward is the last handler of the chain: it passes the call to the forwarder and the answer to the caller.
func (sv *Server) forward(ex *Exchange) error {
	call, err := newCall(ex)
	if err != nil {
		return chestnutroad.Refuse(chestnutroad.BadRequest, err.Error())
	}
	answer := sv.newAnswerWriter(ex)
	if err := sv.forwarder.Forward(ex.HTTP.Context(), &ex.Request, call, answer); err != nil {
		return mapDeadlineError(ex, err)
	}
	return answer.finish()
}

// newCall returns the call that is sent to the target; a chat is always streamed.
func newCall(ex *Exchange) (*chestnutroad.Call, error) {
	header := make(http.Header, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
		if values := ex.HTTP.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	body := ex.Body
	if ex.Chat != nil && !ex.Chat.Stream {
		streamed, err := withStreaming(ex.Body)
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

// newAnswerWriter returns the writer for the form of answer that the caller asked for.
func (sv *Server) newAnswerWriter(ex *Exchange) answerWriter {
	out := newOutput(ex, sv.writeTimeout)
	switch {
	case ex.Chat == nil:
		return &plainAnswer{out: out}
	case ex.Chat.Stream:
		return &streamAnswer{out: out}
	default:
		return &bufferedAnswer{out: out}
	}
}

// mapDeadlineError turns an expired deadline into a refusal. It returns a refusal, or any other error, as it is: the error of
// a caller that has disconnected is only of use to the log.
func mapDeadlineError(ex *Exchange, err error) error {
	var refusal *chestnutroad.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(ex.HTTP.Context().Err(), context.DeadlineExceeded) {
		return deadlineRefusal(ex)
	}
	return err
}

// deadlineRefusal returns the refusal for an expired deadline, which leaves the outcome unknown unless the call is idempotent.
func deadlineRefusal(ex *Exchange) *chestnutroad.Refusal {
	if ex.Route.Repeat == chestnutroad.RepeatAllowed {
		return chestnutroad.Refuse(chestnutroad.DeadlineExceeded, "the deadline passed before the answer was complete")
	}
	return chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the deadline passed while the call was running")
}
