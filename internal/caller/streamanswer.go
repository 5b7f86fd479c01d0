package caller

import (
	"net/http"

	"github.com/chestnutroad/chestnutroad"
)

// streamAnswer passes a chat on as server-sent events.
type streamAnswer struct {
	out *output
	// passThrough is true when the engine answered with an error document instead of a stream.
	passThrough bool
}

// Head starts the event stream; a second head, of a resumed call, changes nothing.
func (an *streamAnswer) Head(status int, header http.Header) error {
	if an.out.ex.HeadSent {
		return nil
	}
	target := an.out.ex.Writer.Header()
	if status != http.StatusOK {
		an.passThrough = true
		target.Set("Content-Type", header.Get("Content-Type"))
		an.out.head(status)
		return nil
	}
	target.Set("Content-Type", "text/event-stream")
	target.Set("Cache-Control", "no-store")
	an.out.head(status)
	return nil
}

// Chunk passes on one event.
func (an *streamAnswer) Chunk(data []byte, _ chestnutroad.Tokens) error {
	if an.passThrough {
		return an.out.write(data)
	}
	return an.out.write(eventPrefix, data, eventSuffix)
}

func (an *streamAnswer) finish() error {
	if an.passThrough {
		return nil
	}
	return an.out.write(doneEvent)
}
