package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// readBootClock returns the time since the boot of the system, including the time in which it was suspended.
func readBootClock() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(reading.Nano()), nil
}
