package host

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/examples"
	"github.com/chestnutroad/chestnutroad/internal/load"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
	"github.com/chestnutroad/chestnutroad/internal/standin/service"
)

// soloPeers implements peers for a host that is alone at its site.
type soloPeers struct {
	self member.Host
	mu   sync.Mutex
	list []chestnutroad.ListedHost
}

var errNoPeers = errors.New("the host has no peers")

func (so *soloPeers) Hosts() []member.HostView {
	return []member.HostView{{Host: so.self, State: member.Alive}}
}
func (so *soloPeers) MachineLeaving(string) bool { return false }

func (so *soloPeers) SetHostList(list []chestnutroad.ListedHost) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.list = list
}
func (so *soloPeers) ObserveEpoch(chestnutroad.ShardID, chestnutroad.Epoch) {}
func (so *soloPeers) Epoch(chestnutroad.ShardID) chestnutroad.Epoch         { return chestnutroad.Epoch{} }

func (so *soloPeers) ObserveVersion(chestnutroad.Version, chestnutroad.Offset) {}
func (so *soloPeers) Version() (chestnutroad.Version, chestnutroad.Offset)     { return 0, 0 }
func (so *soloPeers) SendSummary(chestnutroad.HostID, pool.Summary)            {}

func (so *soloPeers) SendExceptions(chestnutroad.HostID, chestnutroad.ShardID, []pool.PlacementException) {
}

func (so *soloPeers) Forward(
	context.Context, member.HostView, chestnutroad.ShardID, *chestnutroad.Request, *chestnutroad.Call,
	chestnutroad.Answer, int,
) error {
	return errNoPeers
}

func (so *soloPeers) FetchState(context.Context, member.HostView, stateKind, chestnutroad.ShardID) ([]byte, error) {
	return nil, errNoPeers
}

func (so *soloPeers) HandOver(context.Context, member.HostView, chestnutroad.ShardID, chestnutroad.Epoch, []byte) error {
	return errNoPeers
}
func (so *soloPeers) Leave() {}

// soloSite is one host with stand-ins for the targets, the host list and the log.
type soloSite struct {
	host    *Host
	server  *httptest.Server
	engines []*standin.Server
	orders  *service.Service
}

func startSoloSite(t *testing.T) *soloSite {
	t.Helper()
	site := &soloSite{orders: service.New()}
	listed := make([]chestnutroad.ListedHost, 0, 4)
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		server, err := engine.Start("127.0.0.1:0", engine.WithID(chestnutroad.TargetID(name)),
			engine.WithTokenTime(2*time.Millisecond, 0))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		site.engines = append(site.engines, server)
		listed = append(listed, chestnutroad.ListedHost{
			Name: name, Role: chestnutroad.RoleTarget, Service: "assistant", DataCentre: "poznan-a", Address: server.Address(),
		})
	}
	orders := httptest.NewServer(site.orders.Handler())
	t.Cleanup(orders.Close)
	listed = append(listed, chestnutroad.ListedHost{
		Name: "orders-1", Role: chestnutroad.RoleTarget, Service: "orders", DataCentre: "poznan-a",
		Address: orders.Listener.Addr().String(),
	})
	site.start(t, listed)
	return site
}

func (st *soloSite) start(t *testing.T, listed []chestnutroad.ListedHost) {
	t.Helper()
	logger, err := logging.New(t.Output(), "debug", logging.Fields{})
	if err != nil {
		t.Fatal(err)
	}
	set := &settings.Host{ID: "host-1", Site: "wielkopolska", DataCentre: "poznan-a"}
	st.host = New(set, logservice.New(), hostlist.New(listed), logger)
	st.host.peers = &soloPeers{self: member.Host{ID: "host-1", DataCentre: "poznan-a"}}
	parsed, err := settings.Parse(examples.Warta()...)
	if err != nil {
		t.Fatal(err)
	}
	effective, _ := parsed.Effective("wielkopolska")
	st.host.UseSettings(effective)
	st.host.startControllers()
	t.Cleanup(func() {
		st.host.cancel()
		st.host.controllers.Wait()
	})
	st.server = httptest.NewUnstartedServer(nil)
	st.server.Config = st.host.newCallers().HTTPServer()
	st.server.Start()
	t.Cleanup(st.server.Close)
	st.awaitReady(t)
}

func (st *soloSite) awaitReady(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for len(st.host.ownership.ownedShards()) < 2 || !st.host.orders.ready() {
		if time.Now().After(deadline) {
			t.Fatalf("after 20 s the host owns %d shards, orders ready: %v", len(st.host.ownership.ownedShards()), st.host.orders.ready())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func checkChat(body []byte, content string) error {
	tokens, err := engine.ExpectedTokens(body, 0)
	if err != nil {
		return err
	}
	if want := strings.Join(tokens, ""); want != content {
		return errors.New("got " + content + ", want " + want)
	}
	return nil
}

// TestEngineFailsMidStream guards against callers that get a truncated answer, or another caller's, when an engine dies
// while it streams, and against an order that runs twice.
func TestEngineFailsMidStream(t *testing.T) {
	site := startSoloSite(t)
	kill := time.AfterFunc(1500*time.Millisecond, func() { _ = site.engines[0].Close() })
	defer kill.Stop()
	report := load.Run(t.Context(), load.Plan{
		Entries: []string{site.server.URL}, Token: "order-desk-token", Model: "warta-assistant", OrderPath: "/orders",
		OrderShare: 0.3, Rate: 60, Duration: 3 * time.Second, Chats: 20, MaxTokens: 60, Seed: 7, CheckChat: checkChat,
	})
	summary := report.Summary()
	t.Logf("%+v", summary)
	if summary.ChatsAnswered != summary.ChatsSent || summary.OrdersAnswered != summary.OrdersSent || summary.Wrong > 0 {
		t.Errorf("some requests got no answer or a wrong one: %+v", summary)
	}
	if summary.Broken["stream"] > 0 {
		t.Errorf("%d streams were cut off", summary.Broken["stream"])
	}
	for _, execution := range site.orders.Executions().Executions {
		if execution.Count > 1 {
			t.Errorf("order %s ran %d times", execution.Key, execution.Count)
		}
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(tb testing.TB) netip.AddrPort {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}
