package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/capacity"
)

// Capacity measures what the parts of a host cost as their load grows.
type Capacity struct {
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of all random choices"`
	JSON   bool     `arg:"--json" help:"print JSON"`
	Groups []string `arg:"positional" placeholder:"GROUP" help:"pool, order, configuration, token, membership [default: all]"`
}

// Run measures the groups and prints their series.
func (cm *Capacity) Run(ctx context.Context, env *Environment) error {
	names := cm.Groups
	if len(names) == 0 {
		names = capacity.Groups()
	}
	var series []capacity.Series
	for _, name := range names {
		if err := ctx.Err(); err != nil {
			return err
		}
		measured, found, err := capacity.Measure(name, cm.Seed)
		if !found {
			return Exit(CodeUsage, errors.Newf("no group is named %q; the groups are %s", name, strings.Join(capacity.Groups(), ", ")))
		}
		if err != nil {
			return errors.Wrapf(err, "measure %s", name)
		}
		series = append(series, measured...)
	}
	if cm.JSON {
		return writeJSON(env.Out, series)
	}
	return writeTable(env.Out, capacityRows(series))
}

func capacityRows(series []capacity.Series) [][]string {
	rows := make([][]string, 0, 1+len(series))
	rows = append(rows, []string{"QUANTITY", "UNIT", "AGAINST", "SIZE=VALUE", "LAST/FIRST"})
	for _, sr := range series {
		points := make([]string, 0, len(sr.Points))
		for _, point := range sr.Points {
			points = append(points, fmt.Sprintf("%d=%s", point.Size, valueText(point.Value)))
		}
		rows = append(rows, []string{
			sr.Quantity, sr.Unit, sr.Against, strings.Join(points, "  "), strconv.FormatFloat(sr.GrowthRatio(), 'f', 2, 64),
		})
	}
	return rows
}

func valueText(value float64) string {
	if value >= 100 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'f', 2, 64)
}
