package caller

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

const (
	requestIDBytes  = 16
	drainRetryAfter = time.Second
	maxKeyLength    = 256
	// maxBodyBytes bounds a body before its service, and with it the service's own limit, is known.
	maxBodyBytes = 16 << 20
)

// limitOpen refuses a request when too many are open already.
func (sv *Server) limitOpen(next Handler) Handler {
	return func(ex *Exchange) error {
		select {
		case sv.open <- struct{}{}:
		default:
			return chestnutroad.Refuse(chestnutroad.Overloaded, "too many open requests on this host").After(drainRetryAfter)
		}
		defer func() { <-sv.open }()
		return next(ex)
	}
}

// checkReady refuses requests while the host starts or shuts down.
func (sv *Server) checkReady(next Handler) Handler {
	return func(ex *Exchange) error {
		if !sv.ready() {
			return chestnutroad.Refuse(chestnutroad.Draining, "this host takes no new requests").After(drainRetryAfter)
		}
		if ex.Directory == nil {
			return chestnutroad.Refuse(chestnutroad.NotReady, "no configuration is in force yet").After(drainRetryAfter)
		}
		return next(ex)
	}
}

// identify gives the request an id of its own.
func (sv *Server) identify(next Handler) Handler {
	return func(ex *Exchange) error {
		var raw [requestIDBytes]byte
		if _, err := io.ReadFull(sv.random, raw[:]); err != nil {
			return errors.Wrap(err, "draw a request id")
		}
		ex.Request.ID = chestnutroad.RequestID(hex.EncodeToString(raw[:]))
		ex.Request.Arrived = ex.Started
		ex.Writer.Header().Set("X-Request-Id", string(ex.Request.ID))
		return next(ex)
	}
}

// authenticate finds the team by its bearer token.
func (sv *Server) authenticate(next Handler) Handler {
	return func(ex *Exchange) error {
		scheme, token, found := strings.Cut(ex.HTTP.Header.Get("Authorization"), " ")
		if !found || !strings.EqualFold(scheme, "Bearer") {
			return chestnutroad.Refuse(chestnutroad.Unauthenticated, "the request has no bearer token")
		}
		team, known := ex.Directory.Authenticate(strings.TrimSpace(token))
		if !known {
			return chestnutroad.Refuse(chestnutroad.Unauthenticated, "the bearer token is unknown")
		}
		ex.Team = team
		ex.Request.Team = team
		return next(ex)
	}
}

// readBody reads the whole body, within the size and time limits.
func (sv *Server) readBody(next Handler) Handler {
	return func(ex *Exchange) error {
		control := http.NewResponseController(ex.Writer)
		if err := control.SetReadDeadline(sv.now().Add(sv.readTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errors.Wrap(err, "set the read deadline")
		}
		body, err := io.ReadAll(http.MaxBytesReader(ex.Writer, ex.HTTP.Body, maxBodyBytes))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return chestnutroad.Refuse(chestnutroad.TooLarge, "the body is over 16 MiB")
		}
		if err != nil {
			return chestnutroad.Refuse(chestnutroad.BadRequest, "the body could not be read: "+err.Error())
		}
		if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errors.Wrap(err, "clear the read deadline")
		}
		ex.Body = body
		return next(ex)
	}
}

// route finds the service by the model's name or by method and path.
func (sv *Server) route(next Handler) Handler {
	return func(ex *Exchange) error {
		if ex.HTTP.URL.Path == chatPath {
			if err := routeChat(ex); err != nil {
				return err
			}
			return next(ex)
		}
		route, known := ex.Directory.RoutePath(ex.HTTP.Method, ex.HTTP.URL.Path)
		if !known {
			return chestnutroad.Refuse(chestnutroad.UnknownService, "no service serves "+ex.HTTP.Method+" "+ex.HTTP.URL.Path)
		}
		ex.Route = route
		ex.Request.Priority = route.Priority
		return next(ex)
	}
}

// authorise checks the team's access and the service's body limit.
func (sv *Server) authorise(next Handler) Handler {
	return func(ex *Exchange) error {
		if !ex.Directory.MayUse(ex.Team, ex.Route.Service) {
			return chestnutroad.Refuse(chestnutroad.Forbidden, "team "+string(ex.Team)+" may not use "+string(ex.Route.Service))
		}
		if limit := ex.Route.BodyLimit; limit > 0 && chestnutroad.Bytes(len(ex.Body)) > limit {
			return chestnutroad.Refuse(chestnutroad.TooLarge, "the body is over the limit of the service")
		}
		ex.Request.Service = ex.Route.Service
		ex.Request.Repeat = ex.Route.Repeat
		return next(ex)
	}
}

// requireKey demands an idempotency key for calls that may not be repeated.
func (sv *Server) requireKey(next Handler) Handler {
	return func(ex *Exchange) error {
		key := ex.HTTP.Header.Get("Idempotency-Key")
		if len(key) > maxKeyLength {
			return chestnutroad.Refuse(chestnutroad.BadRequest, "the Idempotency-Key is over 256 bytes")
		}
		if key == "" && ex.Route.Repeat != chestnutroad.RepeatAllowed {
			return chestnutroad.Refuse(chestnutroad.KeyRequired, "calls to "+ex.HTTP.URL.Path+" need an Idempotency-Key header")
		}
		ex.Request.Key = chestnutroad.IdempotencyKey(key)
		return next(ex)
	}
}

// setDeadline sets the service's deadline. For a chat it bounds the wait for a target only, since a stream that is under
// way is not cut off; a plain call is bounded as a whole.
func (sv *Server) setDeadline(next Handler) Handler {
	return func(ex *Exchange) error {
		if ex.Route.Deadline <= 0 {
			return next(ex)
		}
		ex.Request.Deadline = ex.Started.Add(ex.Route.Deadline)
		if ex.Chat != nil {
			return next(ex)
		}
		ctx, cancel := context.WithDeadline(ex.HTTP.Context(), ex.Request.Deadline)
		defer cancel()
		ex.HTTP = ex.HTTP.WithContext(ctx)
		return next(ex)
	}
}
