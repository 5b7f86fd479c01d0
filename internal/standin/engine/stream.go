package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

var errCut = errors.New("the stream is cut off")

// eventWriter writes server-sent events and flushes each.
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

// stream answers with one event a token, the usage if asked for, and [DONE].
func (en *Engine) stream(ctx context.Context, rw http.ResponseWriter, sq *sequence) error {
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

// cutAt returns the token index at which the stream is cut off, or -1.
func (en *Engine) cutAt(sq *sequence) chestnutroad.Tokens {
	if !en.switches.TakeCut() {
		return -1
	}
	return sq.resumeAt + chestnutroad.Tokens(en.switches.Get().CutAfter)
}
