package entry_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// TestUnresponsiveRelay guards against a host that keeps using an old configuration, or a target that is leaving, because the
// relay that it follows announces newer state but is too slow to send it. The host must then read the store itself.
func TestUnresponsiveRelay(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	address := netip.AddrPortFrom(reserveAddress(t), peerPort)
	socket, err := siblings.ListenDatagrams(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	var config net.ListenConfig
	// The listener's backlog accepts connections, and nothing answers on them.
	listener, err := config.Listen(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	slow := relay.Host{ID: "host-0", DataCentre: "dc-a", Address: address.String(), Processors: 8}
	text, err := json.Marshal(slow)
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(st.store.Address().String(), time.Second)
	if err := store.Put(t.Context(), chestnutroad.KeyedHosts, string(slow.ID), text); err != nil {
		t.Fatal(err)
	}
	ht := st.start("host-1", true)
	peer := netip.AddrPortFrom(ht.settings.CallerAddress.Addr(), peerPort).String()
	version := chestnutroad.Version(3)
	newer := make(chan chestnutroad.Version, 1)
	go func() {
		for t.Context().Err() == nil {
			select {
			case version = <-newer:
			case <-time.After(relay.TickInterval):
			}
			_, _ = socket.Send([]relay.Send{{Address: peer, Message: relay.Message{
				Kind: relay.Beacon, From: slow.ID, DataCentre: "dc-a", Version: version, Position: chestnutroad.Position{Offset: 1}, Fresh: true,
			}}})
		}
	}()
	time.Sleep(2 * time.Second)
	before := st.store.Calls("/log-newest")
	time.Sleep(time.Second)
	if calls := st.store.Calls("/log-newest") - before; calls > 0 {
		t.Errorf("the host read the store %d times while the relay announced nothing newer", calls)
	}
	st.store.Configure(5, 1, "k-2")
	newer <- 5
	ht.eventually(applyTimeout, "the key is refused", func() bool { return stockStatus(ht, "k-1") == http.StatusUnauthorized })
}
