package caller

import (
	"net/http"

	"github.com/chestnutroad/chestnutroad"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// plainAnswer passes a plain service's answer on without change.
type plainAnswer struct {
	out *output
}

// Head passes on the status and the headers.
func (an *plainAnswer) Head(status int, header http.Header) error {
	target := an.out.ex.Writer.Header()
	for name, values := range header {
		target[name] = values
	}
	for _, name := range hopHeaders {
		target.Del(name)
	}
	an.out.head(status)
	return nil
}

// Chunk passes on one piece of the body.
func (an *plainAnswer) Chunk(data []byte, _ chestnutroad.Tokens) error {
	return an.out.write(data)
}

func (an *plainAnswer) finish() error { return nil }
