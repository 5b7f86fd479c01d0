package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/routing"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// exchange holds the state of one caller's request while it is handled.
type exchange struct {
	writer   http.ResponseWriter
	request  *http.Request
	started  time.Time
	duration time.Duration

	table        *routing.Table
	callMetadata chestnutroad.CallMetadata
	rule         *chestnutroad.RoutingRule
	team         *chestnutroad.TeamSpec
	service      chestnutroad.ServiceID
	body         []byte
	deadline     time.Time

	progress attempt.State
	criteria placement.Request
	choice   placement.Choice
	// fetch holds the figures by which fetches of the prompt's KV cache are judged; zero disables them.
	fetch kvfetch.Profile
	// stalledTarget is the target that the current one replaced when it stalled; empty when there is none.
	stalledTarget chestnutroad.TargetID
	// version is the software version at which the stream began; nil before that. The check of a stalled target reads it during a send.
	version atomic.Pointer[chestnutroad.SoftwareVersion]
	// prefersUnlogged is true if the version is only preferred, since the log of starts can't be written. acceptsUnlogged is true once no
	// target of it was left: the stream may begin at another version, without its start in the log.
	prefersUnlogged, acceptsUnlogged bool
	// resumption states how the version of a resumed stream is known, for the log; its basis is empty for other requests.
	resumption resumption.Decision
	// connection is the connection for the next send; nil when there is none yet.
	connection *targetconn.Connection
	// failure is the latest failure answer of a target, which the caller gets when no other target answers.
	failure *bufferedAnswer
	// targetCounts counts the service's targets by state, for the log, when none was left to choose.
	targetCounts *placement.TargetCounts
	// limitsReached is the number of targets at their limits, for the log, when none was left to choose.
	limitsReached int
	// work is the estimated engine time of the request in seconds, and cachedAt the target where its shared parts are probably
	// cached; empty when there is none.
	work     float64
	cachedAt chestnutroad.TargetID
	// throttled describes the decision of admission control if it refused the request, for the log.
	throttled *admission.Decision
	// sentStale is true once a send ended on a reused connection. Further ones use new connections, on which the end of the target is
	// told from that of the connection.
	sentStale bool
	// fingerprint identifies the request by team, path and body.
	fingerprint chestnutroad.SubjectHash
	// suspect describes the suspicion for which the request was refused, for the log.
	suspect *quarantine.Decision
	// trail lists the target, duration and error of each send, for the log.
	trail []string
	// stalls lists what followed each stall of a target, for the log.
	stalls []attempt.StallEnd
	// replacement is the target that was chosen for the next send; nil when there is none.
	replacement *replacement
	// status is the status that was sent to the caller, zero before that.
	status int
	// incomplete is the reason for which the caller gets no complete answer, or empty.
	incomplete string
	// answerMetadata holds what the headers of the latest answer state.
	answerMetadata chestnutroad.AnswerMetadata
	stream         streamState
}

func (ex *exchange) remaining(now time.Time) time.Duration { return ex.deadline.Sub(now) }

// answerStarted reports whether a part of the answer was sent to the caller.
func (ex *exchange) answerStarted() bool { return ex.status != 0 }
