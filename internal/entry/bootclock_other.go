//go:build !linux

package entry

import (
	"time"

	"github.com/cockroachdb/errors"
)

// readBootClock returns an error: there is no CLOCK_BOOTTIME on this system.
func readBootClock() (time.Duration, error) {
	return 0, errors.New("no clock that counts suspensions")
}
