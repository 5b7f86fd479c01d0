package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// exchanger sends JSON requests to one service of the platform.
type exchanger struct {
	address   string
	transport *http.Transport
}

// reply is an HTTP response with its whole body.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends a request and reads the whole answer. It does not retry; only net/http may resend a request, and only a
// GET.
func (ex *exchanger) exchange(ctx context.Context, at *target.Attempt, call *chestnutroad.Call) (*reply, error) {
	req, err := target.NewRequest(at.Context(ctx), ex.address, call)
	if err != nil {
		return nil, err
	}
	resp, err := ex.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerSize {
		return nil, fmt.Errorf("answer exceeds the size limit of %d bytes", maxAnswerSize)
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// get sends a GET request and decodes the JSON answer into dst. All its errors wrap ErrUnavailable.
func (ex *exchanger) get(ctx context.Context, path string, dst any) error {
	call := &chestnutroad.Call{Method: http.MethodGet, Path: path, Repeat: chestnutroad.RepeatAllowed}
	rp, err := ex.exchange(ctx, target.NewAttempt(), call)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if rp.status != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, rp.status)
	}
	err = json.Unmarshal(rp.body, dst)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
