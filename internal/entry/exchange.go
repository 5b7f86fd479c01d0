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
	took    time.Duration

	table    *routing.Table
	facts    chestnutroad.CallFacts
	rule     *chestnutroad.RoutingRule
	team     *chestnutroad.TeamSpec
	service  chestnutroad.ServiceID
	body     []byte
	deadline time.Time

	progress attempt.State
	ask      placement.Request
	choice   placement.Choice
	// failure is the last failure of a target's own, which the caller gets when nothing better follows.
	failure *whole
	// census counts the targets of the service when none was left.
	census *placement.TargetCounts
	// trail lists each send with its target and end, for the log.
	trail  []string
	status int
	// reported is what the latest answer's headers say.
	reported chestnutroad.AnswerFacts
	stream   streamState
}

func (ex *exchange) left(now time.Time) time.Duration { return ex.deadline.Sub(now) }

// delivered reports whether a part of the answer was sent.
func (ex *exchange) delivered() bool { return ex.status != 0 }
