package cli

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// PublishRequest asks to append a configuration.
type PublishRequest struct {
	// PublishID tells this attempt from others, so that it can be found in the log after a lost response.
	PublishID string
	// Parent is the version that the new one replaces; nil stands for the one that is accepted now.
	Parent *chestnutroad.Version
	// Body is a list of settings files, as settings.MarshalBody writes it.
	Body []byte
}

// Verdict says what became of a published configuration.
type Verdict string

// The verdicts.
const (
	VerdictAccepted Verdict = "Accepted"
	VerdictRefused  Verdict = "Refused"
	VerdictUnknown  Verdict = "Unknown"
)

// PublishAnswer is what became of a PublishRequest.
type PublishAnswer struct {
	Verdict Verdict
	// Version is the version that is accepted now.
	Version chestnutroad.Version
	// Reason says why the verdict is not VerdictAccepted.
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
	// Publish returns an error only when nothing was appended; a lost response gives VerdictUnknown.
	Publish(ctx context.Context, request PublishRequest) (PublishAnswer, error)
	History(ctx context.Context) ([]HistoryEntry, error)
}

// WithPublisher sets the function that connects to the log.
func WithPublisher(connect func(log netip.AddrPort) (Publisher, error)) Option {
	return func(env *Environment) { env.publisher = connect }
}

// LogArguments are the arguments of verbs that use the log.
type LogArguments struct {
	Log     netip.AddrPort `arg:"--log,required" placeholder:"IP:PORT" help:"address of the platform's log"`
	Timeout time.Duration  `arg:"--timeout" default:"10s" help:"longest time to wait for the log"`
}

func (la LogArguments) connect(env *Environment) (Publisher, error) {
	if env.publisher == nil {
		return nil, Exit(CodeUnavailable, errors.New("not available: this build has no client of the platform's log"))
	}
	publisher, err := env.publisher(la.Log)
	if err != nil {
		return nil, Exit(CodeUnreachable, err)
	}
	return publisher, nil
}
