package cli

import (
	"context"
	"crypto/rand"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// ConfigPublish checks settings files and publishes them as the next version.
type ConfigPublish struct {
	LogArguments
	Parent *uint64  `arg:"--parent" placeholder:"VERSION" help:"version that this one replaces [default: the accepted one]"`
	JSON   bool     `arg:"--json" help:"print JSON"`
	Files  []string `arg:"positional,required" placeholder:"FILE" help:"base file, then overlays"`
}

// PublishOutput is the JSON output of config publish.
type PublishOutput struct {
	PublishAnswer
	// Changes lists the differences from the accepted settings to the refused ones.
	Changes []settings.Change `json:",omitempty"`
}

// Run checks the files and publishes them.
func (cm *ConfigPublish) Run(ctx context.Context, env *Environment) error {
	st, err := loadSettings(cm.Files)
	if err != nil {
		return err
	}
	body, err := settings.MarshalBody(st.Files())
	if err != nil {
		return err
	}
	publisher, err := cm.connect(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cm.Timeout)
	defer cancel()
	answer, err := publisher.Publish(ctx, PublishRequest{PublishID: rand.Text(), Parent: cm.parent(), Body: body})
	if err != nil {
		return Exit(CodeUnreachable, errors.Wrap(err, "nothing was published"))
	}
	return cm.writeResult(env, st, answer)
}

// parent returns the value of --parent, or nil for the currently accepted version.
func (cm *ConfigPublish) parent() *chestnutroad.Version {
	if cm.Parent == nil {
		return nil
	}
	parent := chestnutroad.Version(*cm.Parent)
	return &parent
}

func (cm *ConfigPublish) writeResult(env *Environment, st *settings.Settings, answer PublishAnswer) error {
	output := PublishOutput{PublishAnswer: answer}
	if answer.Verdict == VerdictRefused && len(answer.Body) > 0 {
		// On a parse error, accepted is nil and the difference lists all keys.
		accepted, _ := settings.ParseBody(answer.Body)
		output.Changes = settings.Diff(accepted, st)
	}
	if err := cm.write(env, output); err != nil {
		return err
	}
	switch answer.Verdict {
	case VerdictAccepted:
		return nil
	case VerdictRefused:
		return errFinding
	default:
		return Exit(CodeUnreachable, errors.New("it is unknown whether the settings were published; see config history"))
	}
}

func (cm *ConfigPublish) write(env *Environment, output PublishOutput) error {
	if cm.JSON {
		return writeJSON(env.Out, output)
	}
	switch output.Verdict {
	case VerdictAccepted:
		printf(env.Out, "accepted as version %d\n", output.Version)
	case VerdictRefused:
		printf(env.Out, "refused: %s; version %d is in force\n", output.Reason, output.Version)
	case VerdictUnknown:
		printf(env.Out, "unknown: %s\n", output.Reason)
	}
	return writeChanges(env.Out, output.Changes, false)
}
