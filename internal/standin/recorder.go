package standin

import (
	"net/http"
	"sync"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// Recorder is a chestnutroad.Answer that records the answer of one call. It is safe for concurrent use.
type Recorder struct {
	// OnChunk, if set, is called after each chunk; its error ends the call.
	OnChunk func(*Recorder) error

	mu        sync.Mutex
	headCount int
	status    int
	header    http.Header
	body      []byte
	tokens    chestnutroad.Tokens
}

var _ chestnutroad.Answer = (*Recorder)(nil)

// Head records the status and the header.
func (rc *Recorder) Head(status int, header http.Header) error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.headCount++
	rc.status, rc.header = status, header
	return nil
}

// Chunk appends the data to the body and adds the tokens.
func (rc *Recorder) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	rc.mu.Lock()
	rc.body = append(rc.body, data...)
	rc.tokens += tokens
	rc.mu.Unlock()
	if rc.OnChunk == nil {
		return nil
	}
	return rc.OnChunk(rc)
}

// HeadCount returns the number of calls of Head.
func (rc *Recorder) HeadCount() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.headCount
}

// Status returns the status of the last call of Head.
func (rc *Recorder) Status() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.status
}

// Header returns the header of the last call of Head.
func (rc *Recorder) Header() http.Header {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.header
}

// Body returns the body received so far.
func (rc *Recorder) Body() string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return string(rc.body)
}

// Tokens returns the number of tokens received so far.
func (rc *Recorder) Tokens() chestnutroad.Tokens {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.tokens
}
