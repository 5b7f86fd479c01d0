package hostlist

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// maxLag is the time for which replaced versions of the list are retained, and thus the highest lag.
const maxLag = 10 * time.Minute

const maxBodyBytes = 4 << 20

// List holds the current hosts and the recent versions of the list, from which a lagging list is served.
type List struct {
	faults   *standin.FaultInjector
	mu       sync.Mutex
	versions []version
}

// version is the list of hosts from a point in time on.
type version struct {
	since time.Time
	hosts []chestnutroad.ListedHost
}

var _ chestnutroad.HostList = (*List)(nil)

// Option configures a List.
type Option func(*List)

// WithFaultInjector sets the injector whose faults the list applies.
func WithFaultInjector(injector *standin.FaultInjector) Option {
	return func(ls *List) { ls.faults = injector }
}

// New returns a list of the given hosts.
func New(hosts []chestnutroad.ListedHost, options ...Option) *List {
	ls := &List{faults: standin.NewFaultInjector(standin.Faults{})}
	ls.versions = []version{{hosts: slices.Clone(hosts)}}
	for _, option := range options {
		option(ls)
	}
	return ls
}

// Start serves a new list on the address.
func Start(address string, hosts []chestnutroad.ListedHost, options ...Option) (*standin.Server, error) {
	ls := New(hosts, options...)
	return standin.Start(address, ls.faults, ls.Handler())
}

// FaultInjector returns the injector of the list's faults.
func (ls *List) FaultInjector() *standin.FaultInjector { return ls.faults }

// Set replaces all hosts.
func (ls *List) Set(hosts []chestnutroad.ListedHost) {
	ls.update(func([]chestnutroad.ListedHost) []chestnutroad.ListedHost { return slices.Clone(hosts) })
}

// Put adds a host or replaces the host of the same name.
func (ls *List) Put(host chestnutroad.ListedHost) {
	ls.update(func(hosts []chestnutroad.ListedHost) []chestnutroad.ListedHost {
		return append(withoutHost(hosts, host.Name), host)
	})
}

// Remove removes the host with the name.
func (ls *List) Remove(name string) {
	ls.update(func(hosts []chestnutroad.ListedHost) []chestnutroad.ListedHost { return withoutHost(hosts, name) })
}

func withoutHost(hosts []chestnutroad.ListedHost, name string) []chestnutroad.ListedHost {
	return slices.DeleteFunc(hosts, func(host chestnutroad.ListedHost) bool { return host.Name == name })
}

// update appends the changed list as a new version and drops the versions that no lag up to maxLag needs.
func (ls *List) update(change func([]chestnutroad.ListedHost) []chestnutroad.ListedHost) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := time.Now()
	last := ls.versions[len(ls.versions)-1]
	ls.versions = append(ls.versions, version{since: now, hosts: change(slices.Clone(last.hosts))})
	for len(ls.versions) > 1 && now.Sub(ls.versions[1].since) > maxLag {
		ls.versions = ls.versions[1:]
	}
}

// Hosts returns the hosts as of the time that Faults.Lag gives. It applies the faults itself, since no request is involved.
func (ls *List) Hosts(ctx context.Context) ([]chestnutroad.ListedHost, error) {
	faults := ls.faults.Get()
	err := standin.Sleep(ctx, time.Duration(faults.Slow))
	if err != nil {
		return nil, err
	}
	if faults.Down || faults.Unavailable {
		return nil, errors.Join(platform.ErrUnavailable, errors.New("the host list is down"))
	}
	return ls.hostsAsOf(time.Duration(faults.Lag)), nil
}

// hostsAsOf returns the hosts that were listed the given time ago.
func (ls *List) hostsAsOf(lag time.Duration) []chestnutroad.ListedHost {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	asOf := time.Now().Add(-lag)
	index := len(ls.versions) - 1
	for index > 0 && ls.versions[index].since.After(asOf) {
		index--
	}
	return append([]chestnutroad.ListedHost{}, ls.versions[index].hosts...)
}

// Handler returns the handler of GET /hosts, and of PUT /admin/hosts and PUT and DELETE /admin/hosts/{name}, which change the
// list.
func (ls *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(rw http.ResponseWriter, _ *http.Request) {
		hosts := ls.hostsAsOf(time.Duration(ls.faults.Get().Lag))
		standin.WriteJSON(rw, http.StatusOK, platform.HostsResponse{Hosts: hosts})
	})
	mux.HandleFunc("PUT /admin/hosts", func(rw http.ResponseWriter, req *http.Request) {
		var body platform.HostsResponse
		if decode(rw, req, &body) {
			ls.Set(body.Hosts)
		}
	})
	mux.HandleFunc("PUT /admin/hosts/{name}", func(rw http.ResponseWriter, req *http.Request) {
		var host chestnutroad.ListedHost
		if decode(rw, req, &host) {
			host.Name = req.PathValue("name")
			ls.Put(host)
		}
	})
	mux.HandleFunc("DELETE /admin/hosts/{name}", func(_ http.ResponseWriter, req *http.Request) {
		ls.Remove(req.PathValue("name"))
	})
	return mux
}

// decode decodes the request body and reports whether it succeeded; otherwise it answers with status 400.
func decode(rw http.ResponseWriter, req *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
	}
	return err == nil
}
