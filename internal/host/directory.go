package host

import (
	"net/http"
	"net/url"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// directory answers questions about one accepted configuration of the site.
type directory struct {
	version   chestnutroad.Version
	effective *settings.Effective
	mux       *http.ServeMux
	models    map[string]chestnutroad.Route
}

// routeHandler marks a pattern of the mux with its route; it serves nothing itself.
type routeHandler struct{ route chestnutroad.Route }

// ServeHTTP is never called, since the mux is only asked which pattern matches.
func (routeHandler) ServeHTTP(http.ResponseWriter, *http.Request) {}

// newDirectory indexes the routes of the site's services.
func newDirectory(version chestnutroad.Version, effective *settings.Effective) *directory {
	di := &directory{
		version:   version,
		effective: effective,
		mux:       http.NewServeMux(),
		models:    map[string]chestnutroad.Route{},
	}
	for _, service := range effective.Services {
		di.addService(service)
	}
	return di
}

func (di *directory) addService(service settings.Service) {
	base := chestnutroad.Route{
		Service:   service.ID,
		Kind:      chestnutroad.ServiceKind(service.Kind),
		Repeat:    chestnutroad.RepeatAllowed,
		Priority:  chestnutroad.PriorityChat,
		Deadline:  service.Deadline,
		BodyLimit: service.BodyLimit,
		MaxOutput: service.MaxOutputTokens,
	}
	if service.Kind == settings.KindEngine {
		di.models[service.Model] = base
		return
	}
	for _, route := range service.Routes {
		base.Repeat = route.Repeat
		base.Priority = route.Priority
		di.mux.Handle(route.Pattern(), routeHandler{route: base})
	}
}

// Authenticate returns the team that owns the bearer token.
func (di *directory) Authenticate(token string) (chestnutroad.TeamID, bool) {
	team, known := di.effective.TeamByToken(token)
	return team.ID, known
}

// RoutePath returns the route of a plain service's method and path.
func (di *directory) RoutePath(method, path string) (chestnutroad.Route, bool) {
	req := http.Request{Method: method, URL: requestURL(path)}
	handler, _ := di.mux.Handler(&req)
	found, known := handler.(routeHandler)
	return found.route, known
}

// RouteModel returns the route of a model.
func (di *directory) RouteModel(model string) (chestnutroad.Route, bool) {
	route, known := di.models[model]
	return route, known
}

// MayUse reports whether the team may reach the service.
func (di *directory) MayUse(team chestnutroad.TeamID, service chestnutroad.ServiceID) bool {
	found, known := di.effective.Team(team)
	return known && found.MayReach(service)
}

// TeamPriority returns the priority of the team's chats.
func (di *directory) TeamPriority(team chestnutroad.TeamID) chestnutroad.Priority {
	found, known := di.effective.Team(team)
	if !known {
		return chestnutroad.PriorityDraft
	}
	return found.Priority
}

func requestURL(path string) *url.URL { return &url.URL{Path: path} }

// hasOrders reports whether the service has calls that may run at most once.
func (di *directory) hasOrders(id chestnutroad.ServiceID) bool {
	service, known := di.effective.Service(id)
	if !known {
		return false
	}
	for _, route := range service.Routes {
		if route.Repeat != chestnutroad.RepeatAllowed {
			return true
		}
	}
	return false
}
