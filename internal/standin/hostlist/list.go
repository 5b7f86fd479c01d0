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

// maxLag bounds how old an answer can be, and with it the versions to keep.
const maxLag = 10 * time.Minute

const maxBody = 4 << 20

// List holds the listed machines and their recent versions, which a lagging list still shows.
type List struct {
	switches *standin.FaultInjector
	mu       sync.Mutex
	versions []version
}

type version struct {
	since time.Time
	hosts []chestnutroad.ListedHost
}

var _ chestnutroad.HostList = (*List)(nil)

// Option changes a list.
type Option func(*List)

// WithFaultInjector has the list obey these faults.
func WithFaultInjector(switches *standin.FaultInjector) Option {
	return func(ls *List) { ls.switches = switches }
}

// New returns a list of these machines.
func New(hosts []chestnutroad.ListedHost, options ...Option) *List {
	ls := &List{switches: standin.NewFaultInjector(standin.Faults{})}
	ls.versions = []version{{hosts: slices.Clone(hosts)}}
	for _, option := range options {
		option(ls)
	}
	return ls
}

// Start serves a list at the address.
func Start(address string, hosts []chestnutroad.ListedHost, options ...Option) (*standin.Server, error) {
	ls := New(hosts, options...)
	return standin.Start(address, ls.switches, ls.Handler())
}

// FaultInjector returns the list's faults.
func (ls *List) FaultInjector() *standin.FaultInjector { return ls.switches }

// Set replaces the listed machines.
func (ls *List) Set(hosts []chestnutroad.ListedHost) {
	ls.change(func([]chestnutroad.ListedHost) []chestnutroad.ListedHost { return slices.Clone(hosts) })
}

// Put adds one machine or replaces the one with its name.
func (ls *List) Put(host chestnutroad.ListedHost) {
	ls.change(func(hosts []chestnutroad.ListedHost) []chestnutroad.ListedHost {
		return append(without(hosts, host.Name), host)
	})
}

// Remove removes the machine with that name.
func (ls *List) Remove(name string) {
	ls.change(func(hosts []chestnutroad.ListedHost) []chestnutroad.ListedHost { return without(hosts, name) })
}

func without(hosts []chestnutroad.ListedHost, name string) []chestnutroad.ListedHost {
	return slices.DeleteFunc(hosts, func(host chestnutroad.ListedHost) bool { return host.Name == name })
}

func (ls *List) change(change func([]chestnutroad.ListedHost) []chestnutroad.ListedHost) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := time.Now()
	last := ls.versions[len(ls.versions)-1]
	ls.versions = append(ls.versions, version{since: now, hosts: change(slices.Clone(last.hosts))})
	for len(ls.versions) > 1 && now.Sub(ls.versions[1].since) > maxLag {
		ls.versions = ls.versions[1:]
	}
}

// Hosts returns the machines as of the lag ago.
func (ls *List) Hosts(ctx context.Context) ([]chestnutroad.ListedHost, error) {
	faults := ls.switches.Get()
	err := standin.Sleep(ctx, time.Duration(faults.Slow))
	if err != nil {
		return nil, err
	}
	if faults.Down || faults.Unavailable {
		return nil, errors.Join(platform.ErrUnavailable, errors.New("the host list is down"))
	}
	return ls.seen(time.Duration(faults.Lag)), nil
}

func (ls *List) seen(lag time.Duration) []chestnutroad.ListedHost {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	limit := time.Now().Add(-lag)
	index := len(ls.versions) - 1
	for index > 0 && ls.versions[index].since.After(limit) {
		index--
	}
	return append([]chestnutroad.ListedHost{}, ls.versions[index].hosts...)
}

// Handler serves GET /hosts, and PUT /admin/hosts, PUT and DELETE /admin/hosts/{name} to change the list.
func (ls *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(rw http.ResponseWriter, _ *http.Request) {
		hosts := ls.seen(time.Duration(ls.switches.Get().Lag))
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

func decode(rw http.ResponseWriter, req *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
	}
	return err == nil
}
