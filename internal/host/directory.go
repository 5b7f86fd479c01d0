package host

import (
	"net/http"
	"net/url"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// directory looks up teams, services and routes in one configuration of the site.
type directory struct {
	version   chestnutroad.Version
	effective *settings.Effective
	mux       *http.ServeMux
	models    map[string]chestnutroad.Route
}

// routeHandler attaches a route to a pattern of the mux.
type routeHandler struct{ route chestnutroad.Route }

// ServeHTTP does nothing: the mux is only used to match patterns.
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
	team, found := di.effective.TeamByToken(token)
	return team.ID, found
}

// RoutePath returns the plain service's route that matches the method and path.
func (di *directory) RoutePath(method, path string) (chestnutroad.Route, bool) {
	req := http.Request{Method: method, URL: requestURL(path)}
	handler, _ := di.mux.Handler(&req)
	match, found := handler.(routeHandler)
	return match.route, found
}

// RouteModel returns the route to the engines that serve the model.
func (di *directory) RouteModel(model string) (chestnutroad.Route, bool) {
	route, found := di.models[model]
	return route, found
}

// MayUse reports whether the team may use the service.
func (di *directory) MayUse(team chestnutroad.TeamID, service chestnutroad.ServiceID) bool {
	tm, found := di.effective.Team(team)
	return found && tm.MayUse(service)
}

// TeamPriority returns the priority of the team's chats, PriorityDraft for an unknown team.
func (di *directory) TeamPriority(team chestnutroad.TeamID) chestnutroad.Priority {
	tm, found := di.effective.Team(team)
	if !found {
		return chestnutroad.PriorityDraft
	}
	return tm.Priority
}

func requestURL(path string) *url.URL { return &url.URL{Path: path} }

// hasOrders reports whether a route of the service has calls that may run at most once.
func (di *directory) hasOrders(id chestnutroad.ServiceID) bool {
	service, found := di.effective.Service(id)
	if !found {
		return false
	}
	for _, route := range service.Routes {
		if route.Repeat != chestnutroad.RepeatAllowed {
			return true
		}
	}
	return false
}
