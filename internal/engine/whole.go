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
	errAnswerTooLong = fmt.Errorf("%w: it is over the size limit", target.ErrBadAnswer)
	errAnswerNotJSON = fmt.Errorf("%w: it is not JSON", target.ErrBadAnswer)
)

var wholeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// relayWhole hands over an answer that is not a stream. The answer is complete and checked before its head is handed
// over, so that one that broke off can be repeated without the caller noticing.
func (cl *Client) relayWhole(resp *http.Response, answer chestnutroad.Answer) (failure, err error) {
	buffer, ok := wholeBuffers.Get().(*bytes.Buffer)
	if !ok {
		buffer = new(bytes.Buffer)
	}
	buffer.Reset()
	defer releaseWhole(buffer)
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
	return nil, answer.Chunk(buffer.Bytes(), tokensUsed(buffer.Bytes()))
}

func releaseWhole(buffer *bytes.Buffer) {
	if buffer.Cap() <= keptEventBytes {
		wholeBuffers.Put(buffer)
	}
}

// tokensUsed returns the generated tokens that a whole answer states.
func tokensUsed(body []byte) chestnutroad.Tokens {
	var stated struct {
		Usage struct {
			CompletionTokens chestnutroad.Tokens `json:"completion_tokens"`
		} `json:"usage"`
	}
	err := json.Unmarshal(body, &stated)
	if err != nil {
		return 0
	}
	return stated.Usage.CompletionTokens
}
