package platform

import (
	"errors"
	"time"
)

// AppendError says why an append failed and whether the record may have been added all the same.
type AppendError struct {
	// NotAppended is true only when it is certain that the record was not and will not be added.
	NotAppended bool
	// RetryAfter is the time after which another append makes sense; zero means that no time is known.
	RetryAfter time.Duration
	Cause      error
}

// Error returns the verdict and the cause.
func (ae *AppendError) Error() string {
	if ae.NotAppended {
		return "record not appended: " + ae.Cause.Error()
	}
	return "record may have been appended: " + ae.Cause.Error()
}

// Unwrap returns the cause.
func (ae *AppendError) Unwrap() error { return ae.Cause }

// NotAppended reports whether err says that the record was certainly not added; other errors leave it unknown.
func NotAppended(err error) bool {
	var failure *AppendError
	return errors.As(err, &failure) && failure.NotAppended
}

// The causes that the log service itself states.
var (
	ErrTooManyAppends = errors.New("the log's limit on appends a second is reached")
	ErrRecordTooLarge = errors.New("the record is over the log's size limit")
	ErrUnavailable    = errors.New("the service does not answer as it should")
)
