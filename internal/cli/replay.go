package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/replay"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// Replay compares routing policies on a recorded trace.
type Replay struct {
	Settings []string `arg:"--settings,required" placeholder:"FILE" help:"base file, then overlays"`
	Trace    string   `arg:"--trace,required" placeholder:"FILE" help:"recorded trace"`
	Seed     uint64   `arg:"--seed" default:"1" help:"seed of all random choices"`
	Policy   string   `arg:"--policy" placeholder:"NAME,..." help:"policies to compare [default: all]"`
	JSON     bool     `arg:"--json" help:"print one JSON document for each policy"`
}

// Run replays the trace with each policy and prints the results.
func (cm *Replay) Run(_ context.Context, env *Environment) error {
	policies := replay.Policies()
	if cm.Policy != "" {
		policies = strings.Split(cm.Policy, ",")
	}
	tr, err := readTrace(cm.Trace)
	if err != nil {
		return err
	}
	effective, err := cm.loadEffective(tr)
	if err != nil {
		return err
	}
	rows := [][]string{replayHeading}
	for _, policy := range policies {
		result, err := replay.Run(tr, effective, policy, cm.Seed)
		if err != nil {
			return Exit(CodeUsage, err)
		}
		if cm.JSON {
			if err := writeJSON(env.Out, result); err != nil {
				return err
			}
			continue
		}
		rows = append(rows, replayRows(result)...)
	}
	if cm.JSON {
		return nil
	}
	return writeTable(env.Out, rows)
}

// loadEffective returns the effective settings of the trace's site.
func (cm *Replay) loadEffective(tr *trace.Trace) (*settings.Effective, error) {
	st, err := loadSettings(cm.Settings)
	if err != nil {
		return nil, err
	}
	effective, found := st.Effective(tr.Header.Site)
	if !found {
		return nil, Exit(CodeUsage, errors.Newf("the trace is for site %q; the settings have the sites %v", tr.Header.Site, st.Sites()))
	}
	return effective, nil
}

// readTrace reads a trace. A file that can't be opened exits with CodeUnreachable, a malformed one with CodeFinding.
func readTrace(path string) (*trace.Trace, error) {
	file, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, Exit(CodeUnreachable, errors.Wrap(err, "the trace can't be read"))
	}
	defer func() { _ = file.Close() }() // opened only for reading
	tr, err := trace.Read(file)
	if err != nil {
		return nil, Exit(CodeFinding, errors.Wrap(err, path))
	}
	return tr, nil
}

var replayHeading = []string{
	"POLICY", "POOL", "REUSE", "HIGHEST/MEAN", "BREACHES", "CONTROL B/S", "RUN TWICE", "LOST", "REFUSED", "ORDER P99", "FIRST TOKEN P95",
}

func replayRows(result *replay.Result) [][]string {
	rows := make([][]string, 0, len(result.Pools))
	for _, pl := range result.Pools {
		rows = append(rows, []string{
			result.Policy, string(pl.Service), fmt.Sprintf("%.4f", result.Reuse.Fraction), fmt.Sprintf("%.3f", pl.HighestOverMean),
			fmt.Sprintf("%d+%d", pl.AtAdmission.Count, pl.ByDeparture.Count), fmt.Sprintf("%.0f", result.Control.Highest),
			fmt.Sprint(result.Orders.RunTwice), fmt.Sprint(result.Orders.Lost), fmt.Sprint(result.Requests - result.Answered),
			fmt.Sprintf("%.1fms", result.Waits[0].P99Ms), fmt.Sprintf("%.0fms", result.FirstTokenMs.P95),
		})
	}
	return rows
}
