package caller

import (
	"net/http"

	"github.com/chestnutroad/chestnutroad"
)

// streamAnswer passes on the answer to a chat as server-sent events.
type streamAnswer struct {
	out *output
}

// Head starts the event stream; a second head, from a resumed call, is ignored.
func (an *streamAnswer) Head(status int, header http.Header) error {
	if an.out.ex.HeadSent {
		return nil
	}
	callerHeader := an.out.ex.Writer.Header()
	if status != http.StatusOK {
		callerHeader.Set("Content-Type", header.Get("Content-Type"))
		an.out.writeStatus(status)
		return nil
	}
	callerHeader.Set("Content-Type", "text/event-stream")
	callerHeader.Set("Cache-Control", "no-store")
	an.out.writeStatus(status)
	return nil
}

// Chunk passes on one event with the framing of the engine.
func (an *streamAnswer) Chunk(event []byte, _ chestnutroad.Tokens) error {
	return an.out.write(event)
}

func (an *streamAnswer) finish() error { return nil }
