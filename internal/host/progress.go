package host

import (
	"mime"
	"net/http"

	"github.com/chestnutroad/chestnutroad"
)

// progressTokens is the number of tokens between updates of the request's progress at the owner. Each update takes the
// shard's lock.
const progressTokens = 16

// progress forwards the answer of one or more attempts to the caller and counts the tokens already sent.
type progress struct {
	answer   chestnutroad.Answer
	onTokens func(sent chestnutroad.Tokens)
	headSent bool
	// kind is the media type of the first attempt's answer.
	kind     string
	chunks   int
	sent     chestnutroad.Tokens
	reported chestnutroad.Tokens
	// answerErr is the last error of the receiving side; no other attempt can succeed after it.
	answerErr error
}

// Head forwards the head of the first attempt; a resumed attempt sends it again, and it is dropped. It fails for any answer that
// can't continue the first one, such as an error.
func (pg *progress) Head(status int, header http.Header) error {
	kind, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	if pg.headSent {
		if status != http.StatusOK || kind != pg.kind {
			return chestnutroad.Refuse(chestnutroad.BadAnswer, "the answer does not continue the stream")
		}
		return nil
	}
	pg.headSent, pg.kind = true, kind
	pg.answerErr = pg.answer.Head(status, header)
	return pg.answerErr
}

// Chunk forwards a chunk and counts its tokens.
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
// can only start again while nothing of its answer has been forwarded. A call that must not be repeated is not retryable.
func (pg *progress) retryable(request *chestnutroad.Request) bool {
	if pg.answerErr != nil || request.Repeat == chestnutroad.RepeatNever {
		return false
	}
	return isChat(request) || !pg.headSent
}

// isChat reports whether the request is a chat with an engine, whose answer can be resumed at any token.
func isChat(request *chestnutroad.Request) bool { return request.Chat != 0 }
