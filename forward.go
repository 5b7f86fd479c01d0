package chestnutroad

import (
	"context"
	"time"
)

// ServiceKind is the kind of a service's targets.
type ServiceKind string

// The service kinds: model engines, and instances of a plain service.
const (
	ServiceEngine ServiceKind = "Engine"
	ServicePlain  ServiceKind = "Plain"
)

// Route holds the rules by which calls to a service are handled.
type Route struct {
	Service  ServiceID
	Kind     ServiceKind
	Repeat   Repeat
	Priority Priority
	// Deadline is the time limit of a call, counted from its arrival. For a chat it limits only the wait for a target.
	Deadline time.Duration
	// BodyLimit is the maximum size of a request body; zero means no limit.
	BodyLimit Bytes
	// MaxOutput is the maximum number of tokens that one request may generate.
	MaxOutput Tokens
}

// Directory looks up teams, routes and permissions in the active configuration.
type Directory interface {
	// Authenticate returns the team to which the bearer token belongs.
	Authenticate(token string) (TeamID, bool)
	// RoutePath returns the route of a plain service that matches the method and path.
	RoutePath(method, path string) (Route, bool)
	// RouteModel returns the route to the service of a model.
	RouteModel(model string) (Route, bool)
	// MayUse reports whether the team is allowed to use the service.
	MayUse(team TeamID, service ServiceID) bool
	// TeamPriority returns the priority of the team's chats.
	TeamPriority(team TeamID) Priority
}

// Forwarder forwards a caller's request to a target, directly or through another host.
type Forwarder interface {
	// Forward runs the call and returns nil once the whole answer has been passed to answer.
	Forward(ctx context.Context, request *Request, call *Call, answer Answer) error
}
