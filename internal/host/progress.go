package host

import (
	"net/http"

	"github.com/chestnutroad/chestnutroad"
)

// progressInterval is the number of tokens after which the owner's book is updated; each update takes the shard's lock.
const progressInterval = 16

// progress passes an answer on across several attempts and counts what the caller already has.
type progress struct {
	answer   chestnutroad.Answer
	onTokens func(sent chestnutroad.Tokens)
	headSent bool
	chunks   int
	sent     chestnutroad.Tokens
	reported chestnutroad.Tokens
	// failed is the error of the receiving side, after which no attempt can help.
	failed error
}

// Head passes the first attempt's head on; a resumed attempt repeats it.
func (pg *progress) Head(status int, header http.Header) error {
	if pg.headSent {
		return nil
	}
	pg.headSent = true
	pg.failed = pg.answer.Head(status, header)
	return pg.failed
}

// Chunk passes a chunk on and counts its tokens.
func (pg *progress) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	pg.chunks++
	pg.failed = pg.answer.Chunk(data, tokens)
	if pg.failed != nil {
		return pg.failed
	}
	pg.sent += tokens
	if pg.sent-pg.reported >= progressInterval {
		pg.reported = pg.sent
		pg.onTokens(pg.sent)
	}
	return nil
}

// repeatable reports whether another attempt can complete the answer: a chat resumes at the next token, any other call
// only while nothing of its answer was passed on.
func (pg *progress) repeatable(request *chestnutroad.Request) bool {
	if pg.failed != nil || request.Repeat == chestnutroad.RepeatNever {
		return false
	}
	return isChat(request) || !pg.headSent
}

// isChat reports whether the request is a chat with an engine, whose answer can be resumed at any token.
func isChat(request *chestnutroad.Request) bool { return request.Chat != 0 }
