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
	loopback          = "127.0.0.1:0"
	clusterKey        = "a key that only this demo uses, for one run"
	tokenTime         = 4 * time.Millisecond
	batchTime         = 200 * time.Microsecond
	targetsPerService = 4
)

// site holds the hosts and the stand-ins of the demo.
type site struct {
	effective *settings.Effective
	files     []settings.File
	log       *logservice.Log
	engines   []*runningEngine
	// orders is the one plain service behind all plain targets.
	orders    *service.Service
	hostList  []chestnutroad.ListedHost
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

// newSite starts the stand-ins for the targets of a site in the settings, by default of the first one.
func newSite(files []settings.File, name string) (*site, error) {
	parsed, err := settings.Parse(files...)
	if err != nil {
		return nil, err
	}
	if name == "" {
		name = string(parsed.Sites()[0])
	}
	effective, found := parsed.Effective(chestnutroad.SiteID(name))
	if !found {
		return nil, errors.Newf("site %q does not exist in the settings", name)
	}
	st := &site{effective: effective, files: files, log: logservice.New()}
	if err := st.startTargets(); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

// startTargets starts the targets of each service and assigns them to the data centres in turn.
func (st *site) startTargets() error {
	centres := st.effective.Site.DataCentres
	for _, svc := range st.effective.Services {
		for index := range targetsPerService {
			centre := centres[index%len(centres)]
			name := fmt.Sprintf("%s-%d", svc.ID, index+1)
			address, err := st.startTarget(svc, name)
			if err != nil {
				return err
			}
			st.hostList = append(st.hostList, chestnutroad.ListedHost{
				Name: name, Role: chestnutroad.RoleTarget, Service: svc.ID, DataCentre: centre, Address: address,
			})
		}
	}
	return nil
}

// startTarget starts one target and returns its address.
func (st *site) startTarget(svc settings.Service, name string) (string, error) {
	if svc.Kind == settings.KindPlain {
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

// startHosts starts the hosts and assigns them to the data centres in turn. All others join through the first host.
func (st *site) startHosts(ctx context.Context, count int, logs io.Writer) error {
	ctx, st.stop = context.WithCancel(ctx)
	list := hostlist.New(st.hostList)
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
				logger.Error("host stopped with an error", "Error", err)
			}
		})
	}
	return nil
}

// hostSettings returns the settings of a host on free loopback ports.
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

// loopbackAddress returns a loopback address that depends on the process id, so that other processes that do the same don't
// take its ports. Process ids that differ by a multiple of 32768 share an address.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:0", 1+pid>>8&0x7f, pid&0xff)
}

// freePorts returns ports that are free now. It keeps all listeners open until it returns, so that the ports differ.
func freePorts(count int) ([]netip.AddrPort, error) {
	ports := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := net.Listen("tcp", loopbackAddress()) //nolint:noctx // the listener is closed at once
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return ports, nil
}

// killEngine closes the server of one engine with all its connections.
func (st *site) killEngine(index int) {
	st.engines[index].stopped = true
	_ = st.engines[index].server.Close()
}

// close drains the hosts and then closes the servers of the engines.
func (st *site) close() {
	if st.stop != nil {
		st.stop()
	}
	st.group.Wait()
	for _, running := range st.engines {
		_ = running.server.Close()
	}
}
