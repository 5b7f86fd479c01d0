package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
)

// Redirect is returned when the owner names another shard that takes the request.
type Redirect struct {
	DataCentre chestnutroad.DataCentreID
}

// Error names the data centre of the shard to go to.
func (rd *Redirect) Error() string { return "redirect to the shard in " + string(rd.DataCentre) }

// NotOwner is returned by a host that doesn't own the shard; nothing ran.
type NotOwner struct {
	// Epoch is the highest epoch that the answering host knows; its host is the owner as far as that host knows.
	Epoch chestnutroad.Epoch
}

// Error names the owner that the answering host knows of.
func (no *NotOwner) Error() string {
	return "not the owner of the shard; the owner is " + string(no.Epoch.Host)
}

var (
	errNothingWritten     = errors.New("nothing was written to the host")
	errSilent         = errors.New("connection is silent")
	errCancelled      = errors.New("the caller cancelled the request")
	errAuthentication    = errors.New("the other side does not hold the cluster key")
	errShortKey       = errors.New("the cluster key has fewer than 16 bytes")
	errIncompleteBody = errors.New("the request stream ended inside the body")
)

// callRefusal returns the error of a call that broke: nothing ran only if nothing was written.
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

// encodeResult returns the last frame of an answer that ended with err.
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
