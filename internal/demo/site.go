package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
	"github.com/chestnutroad/chestnutroad/internal/standin/service"
)

const (
	loopback    = "127.0.0.1:0"
	clusterKey  = "a key that only this demo uses, for one run"
	tokenTime   = 4 * time.Millisecond
	batchTime   = 200 * time.Microsecond
	engineCount = 4
)

// site is everything that the demo runs.
type site struct {
	effective *settings.Effective
	files     []settings.File
	log       *logservice.Log
	engines   []*runningEngine
	orders    *service.Service
	listed    []chestnutroad.ListedHost
	hosts     []*host.Host
	entries   []string
	operators []string

	group sync.WaitGroup
	stop  context.CancelFunc
}

type runningEngine struct {
	engine  *engine.Engine
	server  *standin.Server
	stopped bool
}

// newSite starts the stand-ins for the targets of the settings' site.
func newSite(files []settings.File, name string) (*site, error) {
	parsed, err := settings.Parse(files...)
	if err != nil {
		return nil, err
	}
	if name == "" {
		name = string(parsed.Sites()[0])
	}
	effective, known := parsed.Effective(chestnutroad.SiteID(name))
	if !known {
		return nil, errors.Newf("the settings have no site %s", name)
	}
	st := &site{effective: effective, files: files, log: logservice.New()}
	if err := st.startTargets(); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

// startTargets starts engines and plain services in turn over the data centres.
func (st *site) startTargets() error {
	centres := st.effective.Site.DataCentres
	for _, described := range st.effective.Services {
		for index := range engineCount {
			centre := centres[index%len(centres)]
			name := fmt.Sprintf("%s-%d", described.ID, index+1)
			address, err := st.startTarget(described, name)
			if err != nil {
				return err
			}
			st.listed = append(st.listed, chestnutroad.ListedHost{
				Name: name, Role: chestnutroad.RoleTarget, Service: described.ID, DataCentre: centre, Address: address,
			})
		}
	}
	return nil
}

func (st *site) startTarget(described settings.Service, name string) (string, error) {
	if described.Kind == settings.KindPlain {
		if st.orders == nil {
			st.orders = service.New()
		}
		server, err := standin.Start(loopback, st.orders.FaultInjector(), st.orders.Handler())
		if err != nil {
			return "", err
		}
		return server.Address(), nil
	}
	running := &runningEngine{engine: engine.New(engine.WithID(chestnutroad.TargetID(name)),
		engine.WithTokenTime(tokenTime, batchTime))}
	server, err := standin.Start(loopback, running.engine.FaultInjector(), running.engine.Handler())
	if err != nil {
		return "", err
	}
	running.server = server
	st.engines = append(st.engines, running)
	return server.Address(), nil
}

// startHosts starts the hosts in turn over the data centres; each joins by the first one.
func (st *site) startHosts(ctx context.Context, count int, logs io.Writer) error {
	ctx, st.stop = context.WithCancel(ctx)
	list := hostlist.New(st.listed)
	var first *settings.Host
	for index := range count {
		set, err := st.hostSettings(index)
		if err != nil {
			return err
		}
		if first == nil {
			first = set
		} else {
			set.Peers = []settings.Peer{{ID: first.ID, Address: first.PeerAddress}}
		}
		logger, err := logging.New(logs, "warn", logging.Fields{Host: set.ID, Site: set.Site, DataCentre: set.DataCentre})
		if err != nil {
			return err
		}
		running := host.New(set, st.log, list, logger)
		running.UseSettings(st.effective)
		st.hosts = append(st.hosts, running)
		st.entries = append(st.entries, "http://"+set.CallerAddress.String())
		st.operators = append(st.operators, "http://"+set.OperatorAddress.String())
		st.group.Go(func() {
			if err := running.Run(ctx); err != nil {
				logger.Error("the host ended", "Error", err)
			}
		})
	}
	return nil
}

func (st *site) hostSettings(index int) (*settings.Host, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	return &settings.Host{
		ID:              chestnutroad.HostID(fmt.Sprintf("host-%d", index+1)),
		Site:            st.effective.Site.ID,
		DataCentre:      st.effective.Site.DataCentres[index%len(st.effective.Site.DataCentres)],
		CallerAddress:   ports[0],
		PeerAddress:     ports[1],
		OperatorAddress: ports[2],
		ClusterKey:      []byte(clusterKey),
	}, nil
}

// processAddress returns a loopback address of this process alone, on which no other one takes a port.
func processAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:0", 1+pid>>8&0x7f, pid&0xff)
}

// freePorts asks the system for ports that are free now. All are held until the last one is known, so that they differ.
func freePorts(count int) ([]netip.AddrPort, error) {
	ports := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := net.Listen("tcp", processAddress()) //nolint:noctx // the listener is closed at once
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return ports, nil
}

// killEngine closes one engine with all its connections.
func (st *site) killEngine(index int) {
	st.engines[index].stopped = true
	_ = st.engines[index].server.Close()
}

// close drains the hosts and stops the stand-ins.
func (st *site) close() {
	if st.stop != nil {
		st.stop()
	}
	st.group.Wait()
	for _, running := range st.engines {
		_ = running.server.Close()
	}
}
