package cli

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// PublishRequest is a configuration to append to the log.
type PublishRequest struct {
	// PublishID identifies this attempt, so that it can be found in the log after a lost response.
	PublishID string
	// Parent is the version that the new one replaces; nil is the currently accepted version.
	Parent *chestnutroad.Version
	// Body is a list of settings files, encoded by settings.MarshalBody.
	Body []byte
}

// Verdict is the outcome of publishing a configuration.
type Verdict string

// The verdicts.
const (
	VerdictAccepted Verdict = "Accepted"
	VerdictRefused  Verdict = "Refused"
	VerdictUnknown  Verdict = "Unknown"
)

// PublishAnswer is the outcome of a PublishRequest.
type PublishAnswer struct {
	Verdict Verdict
	// Version is the currently accepted version.
	Version chestnutroad.Version
	// Reason explains a verdict other than VerdictAccepted.
	Reason string `json:",omitempty"`
	// Body is the accepted body when another publisher was first.
	Body []byte `json:"-"`
}

// HistoryEntry is one record of the configuration stream.
type HistoryEntry struct {
	Offset    chestnutroad.Offset
	Appended  time.Time
	PublishID string
	Parent    chestnutroad.Version
	Version   chestnutroad.Version
	Verdict   Verdict
	Reason    string `json:",omitempty"`
}

// Publisher appends to and reads the configuration stream of the platform's log.
type Publisher interface {
	// Publish appends a configuration. It returns an error only when nothing was appended; a lost response gives
	// VerdictUnknown.
	Publish(ctx context.Context, request PublishRequest) (PublishAnswer, error)
	// History returns the records of the stream.
	History(ctx context.Context) ([]HistoryEntry, error)
}

// WithPublisher sets the function that returns a Publisher for the log at an address.
func WithPublisher(connect func(log netip.AddrPort) (Publisher, error)) Option {
	return func(env *Environment) { env.connectLog = connect }
}

// LogArguments holds the arguments that verbs using the log have in common.
type LogArguments struct {
	Log     netip.AddrPort `arg:"--log,required" placeholder:"IP:PORT" help:"address of the platform's log"`
	Timeout time.Duration  `arg:"--timeout" default:"10s" help:"longest time to wait for the log"`
}

func (la LogArguments) connect(env *Environment) (Publisher, error) {
	if env.connectLog == nil {
		return nil, Exit(CodeUnavailable, errors.New("not available: this build has no client of the platform's log"))
	}
	publisher, err := env.connectLog(la.Log)
	if err != nil {
		return nil, Exit(CodeUnreachable, err)
	}
	return publisher, nil
}
