package chestnutroad

import (
	"context"
	"time"
)

// ServiceKind says what stands behind a service.
type ServiceKind string

// The kinds of services.
const (
	ServiceEngine ServiceKind = "Engine"
	ServicePlain  ServiceKind = "Plain"
)

// Route says how calls of one kind to a service are handled.
type Route struct {
	Service   ServiceID
	Kind      ServiceKind
	Repeat    Repeat
	Priority  Priority
	Deadline  time.Duration
	BodyLimit Bytes
	// MaxOutput bounds the tokens that one request may generate.
	MaxOutput Tokens
}

// Directory answers questions about the configuration in force.
type Directory interface {
	// Authenticate returns the team that owns the bearer token.
	Authenticate(token string) (TeamID, bool)
	// RoutePath returns the route of a plain service's method and path.
	RoutePath(method, path string) (Route, bool)
	// RouteModel returns the route of a model.
	RouteModel(model string) (Route, bool)
	// MayUse reports whether the team may reach the service.
	MayUse(team TeamID, service ServiceID) bool
	// TeamPriority returns the priority of the team's chats.
	TeamPriority(team TeamID) Priority
}

// Forwarder carries a caller's request to a target, on this host or through others.
type Forwarder interface {
	// Forward runs the call and returns nil once the whole answer was passed on.
	Forward(ctx context.Context, request *Request, call *Call, answer Answer) error
}
