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
	requestIDBytes = 16
	hostRetryAfter = time.Second
	maxKeyBytes    = 256
	// maxBodyBytes limits a body before its service, and so the service's own limit, is known.
	maxBodyBytes = 16 << 20
)

// limitConcurrency refuses a request when the maximum number of requests is already open.
func (sv *Server) limitConcurrency(next Handler) Handler {
	return func(ex *Exchange) error {
		select {
		case sv.openRequests <- struct{}{}:
		default:
			return chestnutroad.Refuse(chestnutroad.Overloaded, "too many open requests on this host").WithRetryAfter(hostRetryAfter)
		}
		defer func() { <-sv.openRequests }()
		return next(ex)
	}
}

// checkReady refuses requests while the host drains or has no configuration yet.
func (sv *Server) checkReady(next Handler) Handler {
	return func(ex *Exchange) error {
		if !sv.ready() {
			return chestnutroad.Refuse(chestnutroad.Draining, "this host takes no new requests").WithRetryAfter(hostRetryAfter)
		}
		if ex.Directory == nil {
			return chestnutroad.Refuse(chestnutroad.NotReady, "no configuration is in force yet").WithRetryAfter(hostRetryAfter)
		}
		return next(ex)
	}
}

// assignRequestID gives the request a random id, which the answer carries in X-Request-Id.
func (sv *Server) assignRequestID(next Handler) Handler {
	return func(ex *Exchange) error {
		var raw [requestIDBytes]byte
		if _, err := io.ReadFull(sv.random, raw[:]); err != nil {
			return errors.Wrap(err, "generate a request id")
		}
		ex.Request.ID = chestnutroad.RequestID(hex.EncodeToString(raw[:]))
		ex.Request.Arrived = ex.Started
		ex.Writer.Header().Set("X-Request-Id", string(ex.Request.ID))
		return next(ex)
	}
}

// authenticate identifies the team by its bearer token.
func (sv *Server) authenticate(next Handler) Handler {
	return func(ex *Exchange) error {
		scheme, token, found := strings.Cut(ex.HTTP.Header.Get("Authorization"), " ")
		if !found || !strings.EqualFold(scheme, "Bearer") {
			return chestnutroad.Refuse(chestnutroad.Unauthenticated, "the request has no bearer token")
		}
		team, ok := ex.Directory.Authenticate(strings.TrimSpace(token))
		if !ok {
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

// route finds the service of a chat by its model, and of any other request by its method and path.
func (sv *Server) route(next Handler) Handler {
	return func(ex *Exchange) error {
		if ex.HTTP.URL.Path == chatPath {
			if err := routeChat(ex); err != nil {
				return err
			}
			return next(ex)
		}
		route, ok := ex.Directory.RoutePath(ex.HTTP.Method, ex.HTTP.URL.Path)
		if !ok {
			return chestnutroad.Refuse(chestnutroad.UnknownService, "no service serves "+ex.HTTP.Method+" "+ex.HTTP.URL.Path)
		}
		ex.Route = route
		ex.Request.Priority = route.Priority
		return next(ex)
	}
}

// authorise checks the team's access to the service and the service's body limit.
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

// requireKey requires an idempotency key for calls that are not marked as idempotent.
func (sv *Server) requireKey(next Handler) Handler {
	return func(ex *Exchange) error {
		key := ex.HTTP.Header.Get("Idempotency-Key")
		if len(key) > maxKeyBytes {
			return chestnutroad.Refuse(chestnutroad.BadRequest, "the Idempotency-Key is over 256 bytes")
		}
		if key == "" && ex.Route.Repeat != chestnutroad.RepeatAllowed {
			return chestnutroad.Refuse(chestnutroad.KeyRequired, "calls to "+ex.HTTP.URL.Path+" need an Idempotency-Key header")
		}
		ex.Request.Key = chestnutroad.IdempotencyKey(key)
		return next(ex)
	}
}

// setDeadline sets the service's deadline. For a chat it limits only the wait for a target, since a stream that has started
// is not cut off; any other call is limited as a whole.
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
