package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

var doneData = []byte("[DONE]")

// errErrorEvent wraps io.ErrUnexpectedEOF, so that the failed stream counts as a broken connection and not as a bad answer.
var errErrorEvent = fmt.Errorf("the engine ended the stream with an error event: %w", io.ErrUnexpectedEOF)

// relayEvents passes each event to the answer as it arrives. A stream that ends before its [DONE] event is a failure.
func (cl *Client) relayEvents(resp *http.Response, answer chestnutroad.Answer) (failure, err error) {
	err = answer.Head(resp.StatusCode, target.ResponseHeader(resp))
	if err != nil {
		return nil, err
	}
	er := getEventReader(resp.Body, cl.eventLimit)
	defer er.release()
	for {
		failure = er.next()
		if errors.Is(failure, io.EOF) {
			return io.ErrUnexpectedEOF, nil
		}
		if failure != nil {
			return failure, nil
		}
		done := bytes.Equal(er.data, doneData)
		tokens := chestnutroad.Tokens(0)
		if !done && len(er.data) > 0 {
			tokens, failure = countTokens(er.data)
		}
		if failure != nil {
			return failure, nil
		}
		err = answer.Chunk(er.event, tokens)
		if err != nil || done {
			return nil, err
		}
	}
}
