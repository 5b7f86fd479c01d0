package entry

import (
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/routing"
)

// exchange is one caller's request on its way.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	started time.Time
	duration    time.Duration

	table    *routing.Table
	facts    chestnutroad.CallFacts
	rule     *chestnutroad.RoutingRule
	team     *chestnutroad.TeamSpec
	service  chestnutroad.ServiceID
	body     []byte
	deadline time.Time

	progress attempt.State
	criteria      placement.Ask
	choice   placement.Choice
	// failure is the last failure of a target's own, which the caller gets when nothing better follows.
	failure *bufferedAnswer
	// census counts the targets of the service when none was left.
	census *placement.Census
	// trail lists each send with its target and end, for the log.
	trail  []string
	status int
	// answerFacts is what the latest answer's headers say.
	answerFacts chestnutroad.AnswerFacts
	stream   streamState
}

func (ex *exchange) remaining(now time.Time) time.Duration { return ex.deadline.Sub(now) }

// answerStarted reports whether a part of the answer was sent.
func (ex *exchange) answerStarted() bool { return ex.status != 0 }
