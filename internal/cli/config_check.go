package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// ConfigCheck holds the arguments of config check.
type ConfigCheck struct {
	JSON  bool     `arg:"--json" help:"print JSON"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"base file, then overlays"`
}

// CheckAnswer is the JSON output of config check.
type CheckAnswer struct {
	Valid  bool
	Errors settings.Errors
}

// Run prints the faults of the files.
func (cm *ConfigCheck) Run(_ context.Context, env *Environment) error {
	st, err := loadSettings(cm.Files)
	var faults settings.Errors
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	if err := cm.write(env, st, faults); err != nil {
		return err
	}
	if len(faults) > 0 {
		return errFinding
	}
	return nil
}

func (cm *ConfigCheck) write(env *Environment, st *settings.Settings, faults settings.Errors) error {
	if cm.JSON {
		return writeJSON(env.Out, CheckAnswer{Valid: len(faults) == 0, Errors: append(settings.Errors{}, faults...)})
	}
	if len(faults) > 0 {
		printf(env.Out, "%s\n", faults)
		return nil
	}
	printf(env.Out, "no faults; sites: %v\n", st.Sites())
	return nil
}
