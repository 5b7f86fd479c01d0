package caller

import (
	"net/http"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/hopbyhop"
)

// plainAnswer passes on the answer of a plain service, unchanged except for hop-by-hop headers.
type plainAnswer struct {
	out *output
}

// Head passes on the status and the end-to-end headers.
func (an *plainAnswer) Head(status int, header http.Header) error {
	callerHeader := an.out.ex.Writer.Header()
	for name, values := range header {
		callerHeader[name] = values
	}
	hopbyhop.Remove(callerHeader)
	an.out.writeStatus(status)
	return nil
}

// Chunk passes on one piece of the body.
func (an *plainAnswer) Chunk(data []byte, _ chestnutroad.Tokens) error {
	return an.out.write(data)
}

func (an *plainAnswer) finish() error { return nil }
