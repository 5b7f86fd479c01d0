package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

var errCut = errors.New("the stream is broken off by a fault")

// eventWriter writes server-sent events and flushes each of them.
type eventWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

func (ew eventWriter) write(data []byte) error {
	_, err := fmt.Fprintf(ew.writer, "data: %s\n\n", data)
	if err != nil {
		return err
	}
	return ew.control.Flush()
}

func (ew eventWriter) writeJSON(answer completion) error {
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return ew.write(data)
}

// respondStream answers with one event per token, a usage event if the request asks for it, and a [DONE] event.
func (en *Engine) respondStream(ctx context.Context, rw http.ResponseWriter, sq *sequence) error {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Cache-Control", "no-cache")
	ew := eventWriter{writer: rw, control: http.NewResponseController(rw)}
	err := ew.control.Flush()
	if err != nil {
		return err
	}
	cutAt := en.cutAt(sq)
	err = en.generate(ctx, sq, func(index chestnutroad.Tokens) error {
		if index == cutAt {
			return errCut
		}
		return ew.writeJSON(sq.prompt.event(sq.request.Model, index))
	})
	if err != nil {
		return err
	}
	if sq.request.StreamOptions.IncludeUsage {
		answer := newCompletion("chat.completion.chunk", sq.request.Model, sq.prompt)
		answer.Usage = sq.prompt.usage(sq.reused)
		err = ew.writeJSON(answer)
	}
	if err != nil {
		return err
	}
	return ew.write([]byte("[DONE]"))
}

// cutAt returns the index of the token before which the stream is broken off, or -1 if it is not.
func (en *Engine) cutAt(sq *sequence) chestnutroad.Tokens {
	if !en.faults.TakeCut() {
		return -1
	}
	return sq.resumeAt + chestnutroad.Tokens(en.faults.Get().CutAfter)
}
