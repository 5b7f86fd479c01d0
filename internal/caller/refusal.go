package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// errorBody is the JSON document that describes a refusal to the caller.
type errorBody struct {
	Error errorFields
}

type errorFields struct {
	Kind         chestnutroad.Kind
	Message      string
	Help         string
	NotRun       bool
	RetryAfterMs int64 `json:",omitempty"`
	Request      chestnutroad.RequestID
}

func newErrorBody(ex *Exchange, refusal *chestnutroad.Refusal) errorBody {
	return errorBody{Error: errorFields{
		Kind:         refusal.Kind,
		Message:      refusal.Message,
		Help:         refusal.Kind.Answer().Help,
		NotRun:       refusal.NotRun,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Request:      ex.Request.ID,
	}}
}

// writeRefusal answers with the refusal, or aborts the answer when a part of it was already sent.
func writeRefusal(ex *Exchange, refusal *chestnutroad.Refusal) {
	body, err := json.Marshal(newErrorBody(ex, refusal))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if ex.HeadSent {
		abortAnswer(ex, body)
	}
	answer := refusal.Kind.Answer()
	header := ex.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if answer.Retry && refusal.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
	if answer.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	ex.writeHead(answer.Status)
	if _, err := ex.Writer.Write(body); err != nil {
		return
	}
}

// abortAnswer ends an answer that can't be completed; a stream gets the refusal as its last event. The connection is closed
// without the final chunk, so that no caller takes the partial answer for a complete one.
func abortAnswer(ex *Exchange, body []byte) {
	if ex.Chat != nil && ex.Chat.Stream {
		if err := writeEvent(ex.Writer, body); err == nil {
			_ = http.NewResponseController(ex.Writer).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

// retryAfterSeconds rounds up to whole seconds, since the header has no smaller unit.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
