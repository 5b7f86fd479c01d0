package caller

import (
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Exchange holds the state of one caller's request as it passes through the filters.
type Exchange struct {
	Writer    http.ResponseWriter
	HTTP      *http.Request
	Directory chestnutroad.Directory
	Team      chestnutroad.TeamID
	Route     chestnutroad.Route
	Request   chestnutroad.Request
	Body      []byte
	// Chat is set when the request is a chat completion.
	Chat *chatBody
	// HeadSent is true once a status line was sent to the caller.
	HeadSent bool
	Started  time.Time
	// closing reports whether the caller is to be asked not to reuse its connection.
	closing func() bool
}

// writeHead sends the status line and the headers.
func (ex *Exchange) writeHead(status int) {
	if ex.closing() {
		ex.Writer.Header().Set("Connection", "close")
	}
	ex.Writer.WriteHeader(status)
}

// Handler serves an exchange or returns the error to answer with.
type Handler func(ex *Exchange) error

// Filter wraps the next handler of the chain.
type Filter func(next Handler) Handler
