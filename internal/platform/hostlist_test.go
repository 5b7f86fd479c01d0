package platform_test

import (
	"errors"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
)

// TestHostList guards against a client that differs from the list itself, and against a list that does not lag.
func TestHostList(t *testing.T) {
	t.Parallel()
	list := hostlist.New([]chestnutroad.ListedHost{{Name: "one", Role: chestnutroad.RoleRouter, Address: "127.0.0.1:1"}})
	server, err := standin.Start("127.0.0.1:0", list.Switches(), list.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	time.Sleep(20 * time.Millisecond)
	list.Put(chestnutroad.ListedHost{Name: "two", Role: chestnutroad.RoleTarget, Leaving: true})
	client := platform.NewHostList(server.Address())
	defer client.Close()
	for _, lister := range []chestnutroad.HostList{list, client} {
		list.Switches().Set(standin.Faults{})
		present, err := lister.Hosts(t.Context())
		if err != nil || len(present) != 2 || !present[1].Leaving {
			t.Errorf("hosts %+v, error %v", present, err)
		}
		list.Switches().Set(standin.Faults{Lag: standin.Duration(time.Minute)})
		past, err := lister.Hosts(t.Context())
		if err != nil || len(past) != 1 {
			t.Errorf("lagging hosts %+v, error %v", past, err)
		}
		list.Switches().Set(standin.Faults{Down: true})
		if _, err = lister.Hosts(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("error %v from a list that is down", err)
		}
	}
}
