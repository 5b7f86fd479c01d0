package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// Log reads and appends records of the platform's log service over HTTP.
type Log struct {
	exchanger
	timeout time.Duration
}

var _ chestnutroad.Log = (*Log)(nil)

// NewLog returns a client for the log service at the address, which is an IP address and port.
func NewLog(address string, options ...Option) *Log {
	st := newSettings(options)
	return &Log{
		exchanger: exchanger{address: address, transport: target.KeepAliveHTTP1(st.limits)},
		timeout:   st.timeout,
	}
}

// Close closes the idle connections.
func (lg *Log) Close() { lg.transport.CloseIdleConnections() }

// Append appends a record to the stream. It sends the record at most once; all its errors are of type *AppendError.
func (lg *Log) Append(ctx context.Context, stream chestnutroad.Stream, data []byte) (chestnutroad.Offset, error) {
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, &AppendError{NotAppended: true, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, lg.timeout)
	defer cancel()
	at := target.NewAttempt()
	rp, err := lg.exchange(ctx, at, &chestnutroad.Call{
		Method: http.MethodPost,
		Path:   recordsPath(stream),
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
		Repeat: chestnutroad.RepeatNever,
	})
	if err != nil {
		return 0, &AppendError{NotAppended: at.Seal(), Cause: err}
	}
	return rp.appendResult()
}

// appendResult decodes the answer to an append. The record is certainly not added only if the answer has the not-run header
// or a 4xx status other than 408 (request timeout).
func (rp *reply) appendResult() (chestnutroad.Offset, error) {
	if rp.status == http.StatusOK {
		var response struct{ Offset *chestnutroad.Offset }
		err := json.Unmarshal(rp.body, &response)
		if err != nil {
			return 0, &AppendError{Cause: fmt.Errorf("%w: %w", ErrUnavailable, err)}
		}
		if response.Offset == nil {
			return 0, &AppendError{Cause: fmt.Errorf("%w: answer without an offset", ErrUnavailable)}
		}
		return *response.Offset, nil
	}
	failure := &AppendError{
		NotAppended: rp.header.Get(target.HeaderNotRun) == "true",
		RetryAfter:  target.RetryAfter(rp.header),
		Cause:       fmt.Errorf("%w: status %d", ErrUnavailable, rp.status),
	}
	switch {
	case rp.status == http.StatusTooManyRequests:
		failure.NotAppended = true
		failure.Cause = ErrTooManyAppends
	case rp.status == http.StatusRequestEntityTooLarge:
		failure.NotAppended = true
		failure.Cause = ErrRecordTooLarge
	case rp.status >= 400 && rp.status < 500 && rp.status != http.StatusRequestTimeout:
		failure.NotAppended = true
	}
	return 0, failure
}

// Read returns the records of the stream from the offset on. If there are none, the service waits for one for up to wait.
func (lg *Log) Read(
	ctx context.Context, stream chestnutroad.Stream, from chestnutroad.Offset, wait time.Duration,
) (chestnutroad.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, lg.timeout+wait)
	defer cancel()
	query := url.Values{"from": {strconv.FormatInt(int64(from), 10)}, "wait": {wait.String()}}
	var response struct {
		chestnutroad.Batch
		Next *chestnutroad.Offset
	}
	err := lg.get(ctx, recordsPath(stream)+"?"+query.Encode(), &response)
	if err != nil {
		return chestnutroad.Batch{}, err
	}
	if response.Next == nil {
		return chestnutroad.Batch{}, fmt.Errorf("%w: answer without the next offset", ErrUnavailable)
	}
	response.Batch.Next = *response.Next
	return response.Batch, nil
}

func recordsPath(stream chestnutroad.Stream) string {
	return "/streams/" + url.PathEscape(string(stream)) + "/records"
}
