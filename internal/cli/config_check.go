package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// ConfigCheck reports all faults of settings files.
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

// Run prints the faults of the settings files and of the hosts' process settings.
func (cm *ConfigCheck) Run(_ context.Context, env *Environment) error {
	st, err := loadSettings(cm.Files)
	faults, err := splitFaults(err)
	if err != nil {
		return err
	}
	for _, path := range cm.Host {
		found, err := checkHostFile(path, st)
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

// splitFaults returns err as faults when it contains settings.Errors, otherwise unchanged as the error.
func splitFaults(err error) (settings.Errors, error) {
	var faults settings.Errors
	if errors.As(err, &faults) {
		return faults, nil
	}
	return nil, err
}

// checkHostFile checks the process settings of a host, and its site and data centre against st unless st is nil, as it is
// when the settings have faults.
func checkHostFile(path string, st *settings.Settings) (settings.Errors, error) {
	ht, err := settings.LoadHost(path)
	if err == nil && st != nil {
		err = ht.Check(st)
	}
	faults, err := splitFaults(err)
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
