package settings

import (
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// ServiceKind is the kind of a service: model engine or plain service.
type ServiceKind string

// The kinds of services.
const (
	KindEngine ServiceKind = "Engine"
	KindPlain  ServiceKind = "Plain"
)

// Service holds the settings of a service.
type Service struct {
	ID   chestnutroad.ServiceID
	Kind ServiceKind
	// Model is the model name in requests for the service; only engines have one.
	Model string
	// Routes lists the calls that a plain service accepts.
	Routes []Route
	// Deadline is the maximum duration of a request. For a chat it limits only the wait for a target.
	Deadline time.Duration
	// Multiple is the upper bound of a target's load, as a multiple of the pool's mean load.
	Multiple float64
	// Headroom is how far from the mean (0) to the bound (1) admissions may raise a target's load.
	Headroom float64
	// AffinityWait is how long a returning chat waits for the target that holds its context.
	AffinityWait time.Duration
	// LoadFloor is the load up to which a target never counts as overloaded.
	LoadFloor chestnutroad.WorkUnits
	// QueueLimit is the maximum number of requests that wait in a shard.
	QueueLimit int
	// Slots is the number of requests that a target runs concurrently.
	Slots int
	// SlowStart is the time in which the weight of a new target grows to its full value.
	SlowStart time.Duration
	// BodyLimit is the maximum size of a request body.
	BodyLimit chestnutroad.Bytes
	// MaxPromptTokens is the expected maximum length of a prompt, from which the default of LoadFloor is computed; only engines
	// have one. Longer prompts are not refused.
	MaxPromptTokens chestnutroad.Tokens
	// MaxOutputTokens is the maximum number of tokens that a request may generate; only engines have one.
	MaxOutputTokens chestnutroad.Tokens
	// ExpectedTargets is the number of targets that the service should have at the site; zero means unknown.
	ExpectedTargets int
}

// Route describes the calls that a plain service accepts with one method and path pattern.
type Route struct {
	Method string
	// Path is a path pattern as in net/http.ServeMux, such as /orders/{id}.
	Path     string
	Repeat   chestnutroad.Repeat
	Priority chestnutroad.Priority
}

// Pattern returns the route as a pattern for net/http.ServeMux.
func (rt Route) Pattern() string { return rt.Method + " " + rt.Path }

var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

const (
	defaultMultiple        = 1.25
	defaultHeadroom        = 0.8
	defaultMaxPromptTokens = 8192
	defaultMaxOutputTokens = 1024
	plainCallWork          = 1
)

func readService(rd *reader) Service {
	kind := ServiceKind(rd.choice("Kind", "", string(KindEngine), string(KindPlain)))
	if rd.tb.entries["Kind"] == nil {
		rd.reportMissing("Kind")
	}
	sv := Service{
		ID:              chestnutroad.ServiceID(rd.id("Services")),
		Kind:            kind,
		Deadline:        rd.duration("Deadline", defaultDeadline(kind), 10*time.Millisecond, 24*time.Hour),
		Multiple:        rd.ratio("Multiple", defaultMultiple, 1.01, 10),
		Headroom:        rd.ratio("Headroom", defaultHeadroom, 0.1, 1),
		AffinityWait:    rd.duration("AffinityWait", time.Second, 0, time.Minute),
		QueueLimit:      int(rd.count("QueueLimit", 1000, 0, 1_000_000)),
		Slots:           int(rd.count("Slots", 32, 1, 100_000)),
		SlowStart:       rd.duration("SlowStart", 30*time.Second, 0, time.Hour),
		BodyLimit:       rd.size("BodyLimit", 1<<20, 1, 64<<20),
		ExpectedTargets: int(rd.count("ExpectedTargets", 0, 0, 10_000)),
	}
	readEngineKeys(rd, &sv)
	sv.Routes = readRoutes(rd, kind)
	floor := defaultLoadFloor(sv)
	sv.LoadFloor = chestnutroad.WorkUnits(rd.count("LoadFloor", int64(floor), 1, math.MaxInt32))
	rd.reportUnknownKeys()
	return sv
}

func defaultDeadline(kind ServiceKind) time.Duration {
	if kind == KindEngine {
		return 2 * time.Minute
	}
	return 10 * time.Second
}

// defaultLoadFloor returns the work of the largest request that an engine accepts, or a number of calls of a plain service.
//
// Each call of a plain service counts as one work unit. A pool whose targets carry L equal calls each admits another one only
// if L is at least 1/(Headroom*(Multiple-1)); a floor of one call would therefore limit such a pool to one call per target.
func defaultLoadFloor(sv Service) chestnutroad.WorkUnits {
	if sv.Kind == KindEngine {
		return chestnutroad.WorkOf(sv.MaxPromptTokens, sv.MaxOutputTokens)
	}
	return chestnutroad.WorkUnits(math.Ceil(plainCallWork / (sv.Headroom * (sv.Multiple - 1))))
}

// readEngineKeys reads the keys that only engines have.
func readEngineKeys(rd *reader, sv *Service) {
	if sv.Kind == KindPlain {
		rd.rejectKeysOf(KindEngine, "Model", "MaxPromptTokens", "MaxOutputTokens")
		return
	}
	sv.Model = rd.optionalText("Model")
	if sv.Kind == KindEngine && rd.tb.entries["Model"] == nil {
		rd.reportMissing("Model")
	}
	sv.MaxPromptTokens = chestnutroad.Tokens(rd.count("MaxPromptTokens", defaultMaxPromptTokens, 1, 10_000_000))
	sv.MaxOutputTokens = chestnutroad.Tokens(rd.count("MaxOutputTokens", defaultMaxOutputTokens, 1, 1_000_000))
}

// rejectKeysOf reports those of the keys that are set; only services of the given kind have them.
func (rd *reader) rejectKeysOf(kind ServiceKind, keys ...string) {
	for _, key := range keys {
		if en := rd.lookup(key); en != nil {
			rd.errorf(key, en, "only a service of kind %s has this key", kind)
		}
	}
}

func readRoutes(rd *reader, kind ServiceKind) []Route {
	if kind == KindEngine {
		rd.rejectKeysOf(KindPlain, "Routes")
		return nil
	}
	readers := rd.tables("Routes", checkRoute)
	routes := make([]Route, 0, len(readers))
	for _, route := range readers {
		routes = append(routes, readRoute(route, rd.fullKey("Routes")))
	}
	if kind == KindPlain && len(routes) == 0 {
		rd.reportMissing("Routes")
	}
	return routes
}

func readRoute(rd *reader, parent string) Route {
	method, path, _ := strings.Cut(rd.id(parent), " ")
	rt := Route{
		Method:   method,
		Path:     path,
		Repeat:   rd.repeat(defaultRepeat(method)),
		Priority: rd.priority(chestnutroad.PriorityLookup),
	}
	rd.reportUnknownKeys()
	return rt
}

// defaultRepeat allows repeats only of methods that HTTP defines as safe.
func defaultRepeat(method string) chestnutroad.Repeat {
	if method == http.MethodGet || method == http.MethodHead {
		return chestnutroad.RepeatAllowed
	}
	return chestnutroad.RepeatNever
}

func (rd *reader) repeat(fallback chestnutroad.Repeat) chestnutroad.Repeat {
	return chestnutroad.Repeat(rd.choice("Repeat", string(fallback),
		string(chestnutroad.RepeatAllowed), string(chestnutroad.RepeatNever), string(chestnutroad.RepeatTargetDeduplicates)))
}

// checkRoute returns what is wrong with the name of a route, or an empty string.
func checkRoute(pattern string) string {
	method, path, _ := strings.Cut(pattern, " ")
	for _, allowed := range routeMethods {
		if method == allowed && strings.HasPrefix(path, "/") {
			return registerRoute(http.NewServeMux(), pattern)
		}
	}
	return `a route is named by method and path, as in "GET /orders/{id}"; the methods are ` + strings.Join(routeMethods, ", ")
}

// registerRoute registers the pattern and returns the reason if the mux refuses it, which the mux reports by a panic.
func registerRoute(mux *http.ServeMux, pattern string) (message string) {
	defer func() {
		if cause := recover(); cause != nil {
			message = errors.Newf("%v", cause).Error()
		}
	}()
	mux.Handle(pattern, http.NotFoundHandler())
	return ""
}

// checkServices reports routes that match the same calls and model names that two services share.
func checkServices(rd *reader) {
	mux := http.NewServeMux()
	models := map[string]string{}
	for _, service := range rd.children("Services") {
		for _, route := range service.children("Routes") {
			pattern := route.id(service.fullKey("Routes"))
			if checkRoute(pattern) != "" {
				continue
			}
			if registerRoute(mux, pattern) != "" {
				route.rp.addf(route.tb.file, route.tb.line, route.path, "another route matches the same calls")
			}
		}
		service.checkModel(models)
	}
}

// checkModel reports a model name that another service has and adds the name to models, which maps names to services.
func (rd *reader) checkModel(models map[string]string) {
	model, isSet := rd.tb.nonEmptyText("Model")
	if !isSet {
		return
	}
	if other, found := models[model]; found {
		rd.errorf("Model", rd.tb.entries["Model"], "%s has the same model name", other)
	}
	models[model] = rd.path
}
