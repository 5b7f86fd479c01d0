package caller

import (
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Exchange is one request of a caller on its way through the filters.
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
	// HeadSent is true once the caller has received a status line.
	HeadSent bool
	Started  time.Time
}

// Handler serves an exchange or returns the error to answer with.
type Handler func(ex *Exchange) error

// Filter wraps the next handler of the chain.
type Filter func(next Handler) Handler
