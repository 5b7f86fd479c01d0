package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
)

// Redirect reports that the owner redirects the request to the shard in another data centre.
type Redirect struct {
	DataCentre chestnutroad.DataCentreID
}

// Error returns a message with the data centre of that shard.
func (rd *Redirect) Error() string { return "redirect to the shard in " + string(rd.DataCentre) }

// NotOwner reports that the called host doesn't own the shard and ran nothing.
type NotOwner struct {
	// Epoch is the highest epoch of the shard known to the called host; Epoch.Host is the owner according to that host.
	Epoch chestnutroad.Epoch
}

// Error returns a message with the owner known to the called host.
func (no *NotOwner) Error() string {
	return "host does not own the shard; the owner is " + string(no.Epoch.Host)
}

var (
	errNothingWritten = errors.New("nothing was written to the host")
	errSilent         = errors.New("no frame received within the keep-alive limit")
	errCancelled      = errors.New("request cancelled by the caller")
	errAuthentication = errors.New("handshake: peer failed to prove the cluster key")
	errShortKey       = errors.New("cluster key has fewer than 16 bytes")
	errIncompleteBody = errors.New("request stream ended before the end of the body")
)

// callRefusal returns the refusal for a call that failed in transport. It is marked as not run only if nothing was written.
func callRefusal(ctx context.Context, err error, written bool) error {
	kind := chestnutroad.StreamBroken
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = chestnutroad.DeadlineExceeded
	case !written:
		kind = chestnutroad.NoTarget
	}
	refused := &chestnutroad.Refusal{Kind: kind, Message: "owner host: " + err.Error(), NotRun: !written}
	if !written {
		return errors.Mark(refused, errNothingWritten)
	}
	return refused
}

// encodeResult returns the final frame of a response that ended with err.
func encodeResult(err error) *peerpb.ForwardDown {
	var redirect *Redirect
	var notOwner *NotOwner
	switch {
	case err == nil:
		return &peerpb.ForwardDown{End: true}
	case errors.As(err, &redirect):
		return &peerpb.ForwardDown{RedirectDataCentre: string(redirect.DataCentre)}
	case errors.As(err, &notOwner):
		return &peerpb.ForwardDown{
			NotOwner:    true,
			EpochMillis: notOwner.Epoch.Millis,
			EpochHost:   string(notOwner.Epoch.Host),
		}
	}
	refused := chestnutroad.RefusalOf(err)
	return &peerpb.ForwardDown{Refused: &peerpb.Refused{
		Kind:             string(refused.Kind),
		Message:          refused.Message,
		NotRun:           refused.NotRun,
		RetryAfterMillis: refused.RetryAfter.Milliseconds(),
	}}
}

// NotReached reports whether a call failed before anything was written to the other host.
func NotReached(err error) bool { return errors.Is(err, errNothingWritten) }
