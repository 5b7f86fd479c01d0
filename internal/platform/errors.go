package platform

import (
	"errors"
	"time"
)

// AppendError is the error of a failed append. It tells whether the record may have been added nevertheless.
type AppendError struct {
	// NotAppended is true only if the record was certainly not added and will not be added later.
	NotAppended bool
	// RetryAfter is the time to wait before another append; zero means that none is known.
	RetryAfter time.Duration
	Cause      error
}

// Error returns a message that states whether the record may have been appended, and the cause.
func (ae *AppendError) Error() string {
	if ae.NotAppended {
		return "record not appended: " + ae.Cause.Error()
	}
	return "record may have been appended: " + ae.Cause.Error()
}

// Unwrap returns the cause.
func (ae *AppendError) Unwrap() error { return ae.Cause }

// NotAppended reports whether err is an AppendError of a record that was certainly not added. Any other error leaves it
// unknown.
func NotAppended(err error) bool {
	var failure *AppendError
	return errors.As(err, &failure) && failure.NotAppended
}

// The causes of failed exchanges that callers can distinguish.
var (
	ErrTooManyAppends = errors.New("append rate limit reached")
	ErrRecordTooLarge = errors.New("record exceeds the log's size limit")
	ErrUnavailable    = errors.New("no valid answer from the platform service")
)
