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

const maxChatBody = 4 << 20

// HeaderReusedTokens carries the number of prompt tokens that the engine found in its prefix cache.
const HeaderReusedTokens = "Chestnutroad-Reused-Tokens"

// sequence is one chat in the batch.
type sequence struct {
	request  chatRequest
	prompt   prompt
	chat     string
	resumeAt chestnutroad.Tokens
	reused   chestnutroad.Tokens
	// left is the work that the load report still counts for this sequence.
	left chestnutroad.WorkUnits
	// running is 1 once the chat is in the batch.
	running int
}

func (en *Engine) serveChat(rw http.ResponseWriter, req *http.Request) {
	sq, err := en.parse(rw, req)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	en.accept(sq)
	defer en.end(sq)
	err = en.batch.enter(req.Context())
	if errors.Is(err, errFull) {
		standin.WriteNotRun(rw, err.Error())
		return
	}
	if err != nil {
		return
	}
	defer en.batch.leave()
	en.begin(sq)
	en.echo(rw, req, sq)
	if sq.request.Stream {
		err = en.stream(req.Context(), rw, sq)
	} else {
		err = en.whole(req.Context(), rw, sq)
	}
	if errors.Is(err, errCut) && !en.switches.Get().CutCleanly {
		standin.Abort(rw)
	}
}

func (en *Engine) parse(rw http.ResponseWriter, req *http.Request) (*sequence, error) {
	sq := &sequence{chat: req.Header.Get(target.HeaderChat)}
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxChatBody)).Decode(&sq.request)
	if err != nil {
		return nil, err
	}
	if len(sq.request.Messages) == 0 {
		return nil, errors.New("messages are missing")
	}
	sq.prompt = sq.request.prompt(en.output)
	if text := req.Header.Get(target.HeaderResumeAt); text != "" && !en.switches.Get().IgnoreResume {
		at, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return nil, err
		}
		sq.resumeAt = min(chestnutroad.Tokens(at), sq.prompt.output)
	}
	return sq, nil
}

// accept looks up the chat's cached prefix and counts the work, which a load report shows while the chat waits.
func (en *Engine) accept(sq *sequence) {
	sq.reused = en.cache.lookup(sq.chat, sq.known())
	sq.left = chestnutroad.WorkOf(sq.known()-sq.reused, sq.prompt.output-sq.resumeAt)
	en.reports.add(0, sq.left)
}

// known returns the tokens to prefill, cached or not; those already delivered are among them.
func (sq *sequence) known() chestnutroad.Tokens { return sq.prompt.tokens + sq.resumeAt }

// begin counts the chat as running.
func (en *Engine) begin(sq *sequence) {
	sq.running = 1
	en.reports.add(sq.running, 0)
	en.count(func(statistics *Statistics) {
		statistics.Started++
		statistics.Prompt += sq.known()
		statistics.Reused += sq.reused
	})
}

func (en *Engine) end(sq *sequence) { en.reports.add(-sq.running, -sq.left) }

func (en *Engine) echo(rw http.ResponseWriter, req *http.Request, sq *sequence) {
	header := rw.Header()
	header.Set(target.HeaderRequest, req.Header.Get(target.HeaderRequest))
	if en.switches.TakeMisrouted() {
		header.Set(target.HeaderRequest, "another-request")
	}
	header.Set(HeaderReusedTokens, strconv.FormatInt(int64(sq.reused), 10))
	if sq.resumeAt > 0 {
		header.Set(target.HeaderResumeAt, strconv.FormatInt(int64(sq.resumeAt), 10))
	}
}

// generate runs the sequence token by token and hands each index to emit.
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
		en.count(func(statistics *Statistics) { statistics.Cancelled++ })
		return err
	}
	en.cache.store(sq.chat, sq.prompt.tokens+sq.prompt.output)
	en.count(func(statistics *Statistics) {
		statistics.Finished++
		statistics.Generated += sq.prompt.output - sq.resumeAt
	})
	return nil
}

// stepTime returns the time of one token, which grows with the batch.
func (en *Engine) stepTime() time.Duration {
	slow := time.Duration(en.switches.Get().SlowTokens)
	return en.tokenTime + en.batchTime*time.Duration(en.batch.running()) + slow
}

// prefill takes the time of the prompt tokens that are not cached.
func (en *Engine) prefill(ctx context.Context, sq *sequence) error {
	work := sq.left - chestnutroad.WorkUnits(sq.prompt.output-sq.resumeAt)
	err := standin.Sleep(ctx, en.tokenTime*time.Duration(work))
	en.progress(sq, work)
	return err
}

func (en *Engine) progress(sq *sequence, done chestnutroad.WorkUnits) {
	done = min(done, sq.left)
	sq.left -= done
	en.reports.add(0, -done)
}

func (en *Engine) whole(ctx context.Context, rw http.ResponseWriter, sq *sequence) error {
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
		FinishReason: finished(),
	})
	answer.Usage = sq.prompt.usage(sq.reused)
	standin.WriteJSON(rw, http.StatusOK, answer)
	return nil
}
