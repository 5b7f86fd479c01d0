package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/capacity"
)

// Capacity holds the arguments of capacity.
type Capacity struct {
	Seed   uint64   `arg:"--seed" default:"1" help:"seed of all random choices"`
	JSON   bool     `arg:"--json" help:"print JSON"`
	Groups []string `arg:"positional" placeholder:"GROUP" help:"pool, order, configuration, token, membership [default: all]"`
}

// Run measures the groups and prints their slopes.
func (cm *Capacity) Run(ctx context.Context, env *Environment) error {
	names := cm.Groups
	if len(names) == 0 {
		names = capacity.Groups()
	}
	var slopes []capacity.Slope
	for _, name := range names {
		if err := ctx.Err(); err != nil {
			return err
		}
		measured, known, err := capacity.Measure(name, cm.Seed)
		if !known {
			return Exit(CodeUsage, errors.Newf("there is no group %q; the groups are %s", name, strings.Join(capacity.Groups(), ", ")))
		}
		if err != nil {
			return errors.Wrapf(err, "measure %s", name)
		}
		slopes = append(slopes, measured...)
	}
	if cm.JSON {
		return writeJSON(env.Out, slopes)
	}
	return writeTable(env.Out, capacityRows(slopes))
}

func capacityRows(slopes []capacity.Slope) [][]string {
	rows := make([][]string, 0, 1+len(slopes))
	rows = append(rows, []string{"QUANTITY", "UNIT", "AGAINST", "SIZE=VALUE", "LAST/FIRST"})
	for _, sl := range slopes {
		points := make([]string, 0, len(sl.Points))
		for _, point := range sl.Points {
			points = append(points, fmt.Sprintf("%d=%s", point.Size, valueText(point.Value)))
		}
		rows = append(rows, []string{
			sl.Quantity, sl.Unit, sl.Against, strings.Join(points, "  "), strconv.FormatFloat(sl.Bend(), 'f', 2, 64),
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
