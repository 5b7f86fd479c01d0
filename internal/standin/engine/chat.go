package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

const maxChatBytes = 4 << 20

// HeaderReusedTokens carries the number of prompt tokens that were in the engine's prefix cache.
const HeaderReusedTokens = "Chestnutroad-Reused-Tokens"

// sequence is a chat that runs in the batch or waits for a slot.
type sequence struct {
	request  chatRequest
	prompt   prompt
	chat     string
	resumeAt chestnutroad.Tokens
	reused   chestnutroad.Tokens
	// remaining is the work of the sequence that is not done yet; load reports include it.
	remaining chestnutroad.WorkUnits
	// running is 1 while the sequence has a slot in the batch, otherwise 0.
	running int
}

func (en *Engine) serveChat(rw http.ResponseWriter, req *http.Request) {
	sq, err := en.parseChat(rw, req)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	en.admit(sq)
	defer en.finish(sq)
	err = en.batch.acquire(req.Context())
	if errors.Is(err, errQueueFull) {
		standin.WriteNotRun(rw, err.Error())
		return
	}
	if err != nil {
		return
	}
	defer en.batch.release()
	en.start(sq)
	en.setHeaders(rw, req, sq)
	if sq.request.Stream {
		err = en.respondStream(req.Context(), rw, sq)
	} else {
		err = en.respondWhole(req.Context(), rw, sq)
	}
	if errors.Is(err, errCut) && !en.faults.Get().CutCleanly {
		standin.Abort(rw)
	}
}

func (en *Engine) parseChat(rw http.ResponseWriter, req *http.Request) (*sequence, error) {
	sq := &sequence{chat: req.Header.Get(target.HeaderChat)}
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxChatBytes)).Decode(&sq.request)
	if err != nil {
		return nil, err
	}
	if len(sq.request.Messages) == 0 {
		return nil, errors.New("the request has no messages")
	}
	sq.prompt = sq.request.prompt(en.output)
	if text := req.Header.Get(target.HeaderResumeAt); text != "" && !en.faults.Get().IgnoreResume {
		at, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return nil, err
		}
		sq.resumeAt = min(chestnutroad.Tokens(at), sq.prompt.output)
	}
	return sq, nil
}

// admit looks up the chat's cached prefix and adds the work of the sequence to the load, which includes waiting sequences.
func (en *Engine) admit(sq *sequence) {
	sq.reused = en.cache.lookup(sq.chat, sq.prefillTokens())
	sq.remaining = chestnutroad.WorkOf(sq.prefillTokens()-sq.reused, sq.prompt.output-sq.resumeAt)
	en.history.add(0, sq.remaining)
}

// prefillTokens returns the number of tokens that precede the next one to generate, whether or not they are cached: the prompt
// and the tokens that a resumed stream has already delivered.
func (sq *sequence) prefillTokens() chestnutroad.Tokens { return sq.prompt.tokens + sq.resumeAt }

// start counts the sequence as running.
func (en *Engine) start(sq *sequence) {
	sq.running = 1
	en.history.add(sq.running, 0)
	en.updateStatistics(func(statistics *Statistics) {
		statistics.Started++
		statistics.Prompt += sq.prefillTokens()
		statistics.Reused += sq.reused
	})
}

// finish removes the sequence and its remaining work from the load.
func (en *Engine) finish(sq *sequence) { en.history.add(-sq.running, -sq.remaining) }

// setHeaders sets the headers that echo the request and state the reused tokens.
func (en *Engine) setHeaders(rw http.ResponseWriter, req *http.Request, sq *sequence) {
	header := rw.Header()
	header.Set(target.HeaderRequest, req.Header.Get(target.HeaderRequest))
	if en.faults.TakeMisrouted() {
		header.Set(target.HeaderRequest, "another-request")
	}
	header.Set(HeaderReusedTokens, strconv.FormatInt(int64(sq.reused), 10))
	if sq.resumeAt > 0 {
		header.Set(target.HeaderResumeAt, strconv.FormatInt(int64(sq.resumeAt), 10))
	}
}

// generate runs the sequence and calls emit with the index of each generated token.
func (en *Engine) generate(ctx context.Context, sq *sequence, emit func(chestnutroad.Tokens) error) error {
	err := en.prefill(ctx, sq)
	for index := sq.resumeAt; index < sq.prompt.output && err == nil; index++ {
		err = standin.Sleep(ctx, en.stepTime())
		if err == nil {
			err = emit(index)
		}
		en.progress(sq, 1)
	}
	if err != nil {
		en.updateStatistics(func(statistics *Statistics) { statistics.Cancelled++ })
		return err
	}
	en.cache.store(sq.chat, sq.prompt.tokens+sq.prompt.output)
	en.updateStatistics(func(statistics *Statistics) {
		statistics.Finished++
		statistics.Generated += sq.prompt.output - sq.resumeAt
	})
	return nil
}

// stepTime returns the time to generate one token, which grows with the number of running sequences.
func (en *Engine) stepTime() time.Duration {
	slow := time.Duration(en.faults.Get().SlowTokens)
	return en.tokenTime + en.batchTime*time.Duration(en.batch.running()) + slow
}

// prefill waits as long as it takes to process the prompt tokens that are not cached.
func (en *Engine) prefill(ctx context.Context, sq *sequence) error {
	work := sq.remaining - chestnutroad.WorkUnits(sq.prompt.output-sq.resumeAt)
	err := standin.Sleep(ctx, en.tokenTime*time.Duration(work))
	en.progress(sq, work)
	return err
}

// progress subtracts work that is done from the sequence and from the load.
func (en *Engine) progress(sq *sequence, done chestnutroad.WorkUnits) {
	done = min(done, sq.remaining)
	sq.remaining -= done
	en.history.add(0, -done)
}

// respondWhole answers with all tokens in one JSON body.
func (en *Engine) respondWhole(ctx context.Context, rw http.ResponseWriter, sq *sequence) error {
	var text strings.Builder
	err := en.generate(ctx, sq, func(index chestnutroad.Tokens) error {
		_, err := text.WriteString(sq.prompt.token(index))
		return err
	})
	if err != nil {
		return err
	}
	answer := newCompletion("chat.completion", sq.request.Model, sq.prompt)
	answer.Choices = append(answer.Choices, choice{
		Message:      &reply{Role: "assistant", Content: text.String()},
		FinishReason: finishReason(),
	})
	answer.Usage = sq.prompt.usage(sq.reused)
	standin.WriteJSON(rw, http.StatusOK, answer)
	return nil
}
