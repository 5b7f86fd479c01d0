package host

import (
	"net/http"

	"github.com/chestnutroad/chestnutroad"
)

// progressTokens is the number of tokens after which the owner's book is updated; each update takes the shard's lock.
const progressTokens = 16

// progress passes an answer on across several attempts and counts what the caller already has.
type progress struct {
	answer   chestnutroad.Answer
	onTokens func(sent chestnutroad.Tokens)
	headSent bool
	chunks   int
	sent     chestnutroad.Tokens
	reported chestnutroad.Tokens
	// answerErr is the error of the receiving side, after which no attempt can help.
	answerErr error
}

// Head passes the first attempt's head on; a resumed attempt repeats it.
func (pg *progress) Head(status int, header http.Header) error {
	if pg.headSent {
		return nil
	}
	pg.headSent = true
	pg.answerErr = pg.answer.Head(status, header)
	return pg.answerErr
}

// Chunk passes a chunk on and counts its tokens.
func (pg *progress) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	pg.chunks++
	pg.answerErr = pg.answer.Chunk(data, tokens)
	if pg.answerErr != nil {
		return pg.answerErr
	}
	pg.sent += tokens
	if pg.sent-pg.reported >= progressTokens {
		pg.reported = pg.sent
		pg.onTokens(pg.sent)
	}
	return nil
}

// retryable reports whether another attempt can complete the answer: a chat resumes at the next token, any other call
// only while nothing of its answer was passed on.
func (pg *progress) retryable(request *chestnutroad.Request) bool {
	if pg.answerErr != nil || request.Repeat == chestnutroad.RepeatNever {
		return false
	}
	return isChat(request) || !pg.headSent
}

// isChat reports whether the request is a chat with an engine, whose answer can be resumed at any token.
func isChat(request *chestnutroad.Request) bool { return request.Chat != 0 }
