package publish

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
)

func acceptAny([]byte) error { return nil }

// failingLog appends once but loses the answer, and can't be read afterwards.
type failingLog struct {
	*logservice.Log
	appended bool
}

func (fl *failingLog) Append(ctx context.Context, stream chestnutroad.Stream, data []byte) (chestnutroad.Offset, error) {
	fl.FaultInjector().Set(standin.Faults{LoseAnswers: 1})
	offset, err := fl.Log.Append(ctx, stream, data)
	fl.FaultInjector().Set(standin.Faults{Down: true})
	fl.appended = true
	return offset, err
}

// TestVerdicts guards against a verdict that is guessed: a lost answer to an append that took effect, an outdated parent and
// a log that can't be read after the append each have a verdict of their own.
func TestVerdicts(t *testing.T) {
	outdated := chestnutroad.Version(0)
	tests := []struct {
		name    string
		log     func() chestnutroad.Log
		parent  *chestnutroad.Version
		verdict cli.Verdict
		version chestnutroad.Version
	}{
		{"accepted", plainLog, nil, cli.VerdictAccepted, 2},
		{"lost answer", lossyLog, nil, cli.VerdictAccepted, 2},
		{"outdated parent", plainLog, &outdated, cli.VerdictRefused, 1},
		{
			"lost answer and unreadable log", func() chestnutroad.Log { return &failingLog{Log: firstVersion()} }, nil,
			cli.VerdictUnknown, 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, err := New(tt.log(), acceptAny).Publish(ctx, cli.PublishRequest{
				PublishID: "second", Parent: tt.parent, Body: []byte(`"b"`),
			})
			if err != nil || answer.Verdict != tt.verdict || answer.Version != tt.version {
				t.Errorf("got %+v, %v, want %s and version %d", answer, err, tt.verdict, tt.version)
			}
		})
	}
}

func plainLog() chestnutroad.Log { return firstVersion() }

func lossyLog() chestnutroad.Log {
	log := firstVersion()
	log.FaultInjector().Set(standin.Faults{LoseAnswers: 1})
	return log
}

// firstVersion returns a log with one accepted configuration.
func firstVersion() *logservice.Log {
	log := logservice.New()
	answer, err := New(log, acceptAny).Publish(context.Background(), cli.PublishRequest{PublishID: "first", Body: []byte(`"a"`)})
	if err != nil || answer.Verdict != cli.VerdictAccepted {
		panic("the first configuration was not accepted")
	}
	return log
}
