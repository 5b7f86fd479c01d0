package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

var (
	errAnswerTooLong = fmt.Errorf("%w: the body is over the size limit", target.ErrBadAnswer)
	errAnswerNotJSON = fmt.Errorf("%w: the body is not JSON", target.ErrBadAnswer)
)

// bodyBuffers pools the buffers of relayBuffered, which would otherwise be allocated for each answer.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// relayBuffered passes on a response that is not a stream. It reads and checks the whole body before it passes on the head, so
// that a call whose response breaks off can be repeated before the caller has received any of it.
func (cl *Client) relayBuffered(resp *http.Response, answer chestnutroad.Answer) (failure, err error) {
	buffer, ok := bodyBuffers.Get().(*bytes.Buffer)
	if !ok {
		buffer = new(bytes.Buffer)
	}
	buffer.Reset()
	defer releaseBodyBuffer(buffer)
	count, failure := buffer.ReadFrom(io.LimitReader(resp.Body, cl.answerLimit+1))
	if failure != nil {
		return failure, nil
	}
	if count > cl.answerLimit {
		return errAnswerTooLong, nil
	}
	if resp.StatusCode == http.StatusOK && !json.Valid(buffer.Bytes()) {
		return errAnswerNotJSON, nil
	}
	err = answer.Head(resp.StatusCode, target.ResponseHeader(resp))
	if err != nil || buffer.Len() == 0 {
		return nil, err
	}
	return nil, answer.Chunk(buffer.Bytes(), completionTokens(buffer.Bytes()))
}

// releaseBodyBuffer returns the buffer to the pool, unless it grew beyond maxPooledBytes.
func releaseBodyBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBytes {
		bodyBuffers.Put(buffer)
	}
}

// completionTokens returns the number of generated tokens in the answer's usage, or 0 if the answer has none.
func completionTokens(body []byte) chestnutroad.Tokens {
	var answer struct {
		Usage struct {
			CompletionTokens chestnutroad.Tokens `json:"completion_tokens"`
		} `json:"usage"`
	}
	err := json.Unmarshal(body, &answer)
	if err != nil {
		return 0
	}
	return answer.Usage.CompletionTokens
}
