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

var errEngineEvent = fmt.Errorf("the engine ended the stream with an error event: %w", io.ErrUnexpectedEOF)

// relayEvents hands each event to the answer; a stream without its [DONE] event is truncated.
func (cl *Client) relayEvents(resp *http.Response, answer chestnutroad.Answer) (failure, err error) {
	err = answer.Head(resp.StatusCode, target.ResponseHeader(resp))
	if err != nil {
		return nil, err
	}
	er := takeEventReader(resp.Body, cl.eventLimit)
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
