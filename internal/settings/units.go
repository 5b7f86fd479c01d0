package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

type sizeUnit struct {
	name  string
	bytes chestnutroad.Bytes
}

// sizeUnits lists a unit before any unit that is a suffix of its name, so that the first match is the right one.
var sizeUnits = []sizeUnit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// parseSize parses a size such as "5KB" or "16KiB"; it must be a whole number of bytes.
func parseSize(text string) (chestnutroad.Bytes, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(digits, 64)
		size := number * float64(unit.bytes)
		if err != nil || math.IsNaN(size) || math.Abs(size) > math.MaxInt64/2 || size != math.Trunc(size) {
			return 0, false
		}
		return chestnutroad.Bytes(size), true
	}
	return 0, false
}

// formatSize returns the size in the largest unit that divides it, decimal or binary.
func formatSize(size chestnutroad.Bytes) string {
	best := sizeUnit{"B", 1}
	for _, unit := range sizeUnits {
		if size != 0 && size%unit.bytes == 0 && unit.bytes > best.bytes {
			best = unit
		}
	}
	return strconv.FormatInt(int64(size/best.bytes), 10) + best.name
}

// formatDuration returns the duration as its String method does, but without trailing zero units: "2m" instead of "2m0s".
func formatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// parsePercent parses a percentage such as "20%" and returns it as a fraction.
func parsePercent(text string) (float64, bool) {
	digits, found := strings.CutSuffix(text, "%")
	if !found {
		return 0, false
	}
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, false
	}
	return number / 100, true
}

func formatPercent(fraction float64) string {
	return strconv.FormatFloat(math.Round(fraction*1e6)/1e4, 'f', -1, 64) + "%"
}
