package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// ConfigCheck holds the arguments of config check.
type ConfigCheck struct {
	Host  []string `arg:"--host,separate" placeholder:"FILE" help:"process settings of a host to check too; may be repeated"`
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
	faults, err := asFaults(err)
	if err != nil {
		return err
	}
	for _, path := range cm.Host {
		found, err := checkHost(path, st)
		if err != nil {
			return err
		}
		faults = append(faults, found...)
	}
	if err := cm.write(env, st, faults); err != nil {
		return err
	}
	if len(faults) > 0 {
		return errFinding
	}
	return nil
}

// asFaults takes faults of settings out of the error and returns any other error as it is.
func asFaults(err error) (settings.Errors, error) {
	var faults settings.Errors
	if errors.As(err, &faults) {
		return faults, nil
	}
	return nil, err
}

// checkHost checks process settings, and that the settings know the host's site; st is nil when they have faults.
func checkHost(path string, st *settings.Settings) (settings.Errors, error) {
	ht, err := settings.LoadHost(path)
	if err == nil && st != nil {
		err = ht.Check(st)
	}
	faults, err := asFaults(err)
	if err != nil {
		return nil, Exit(CodeUnreachable, err)
	}
	return faults, nil
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
