package cli

import (
	"context"
	"os"

	"github.com/chestnutroad/chestnutroad/internal/configcheck"
)

// PlatformCheck checks a configuration of the platform before it is sent.
type PlatformCheck struct {
	InForce string `arg:"--in-force" placeholder:"FILE" help:"configuration in force, to list what differs"`
	File    string `arg:"positional,required" placeholder:"FILE" help:"the JSON document that is to be written under the key config"`
}

// Run prints the findings. Only errors are a finding for the exit code.
func (cm *PlatformCheck) Run(_ context.Context, env *Environment) error {
	data, err := os.ReadFile(cm.File)
	if err != nil {
		return Exit(CodeUnreachable, err)
	}
	findings := configcheck.Check(data)
	if cm.InForce != "" {
		inForce, err := os.ReadFile(cm.InForce)
		if err != nil {
			return Exit(CodeUnreachable, err)
		}
		findings = configcheck.Sort(append(findings, configcheck.Compare(inForce, data)...))
	}
	for _, finding := range findings {
		printf(env.Out, "%s\n", finding)
	}
	if configcheck.HasErrors(findings) {
		return errFinding
	}
	return nil
}
