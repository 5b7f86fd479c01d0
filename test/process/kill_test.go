package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/load"
)

// TestRouterAndEngineKilled guards against a chat that stays without its whole answer, or an order that is lost or runs
// twice, when a router and an engine die in the middle of the traffic.
func TestRouterAndEngineKilled(t *testing.T) {
	fl := startFleet(t, 6)
	killRouter := time.AfterFunc(2*time.Second, func() { fl.routers[4].signal(syscall.SIGKILL) })
	defer killRouter.Stop()
	killEngine := time.AfterFunc(3*time.Second, func() { fl.engines[0].signal(syscall.SIGKILL) })
	defer killEngine.Stop()
	report := load.Run(t.Context(), fl.plan(6*time.Second))
	summary := report.Summary()
	t.Logf("%+v", summary)
	if summary.ChatsAnswered != summary.ChatsSent || summary.Wrong > 0 {
		t.Errorf("%d of %d chats were answered whole, %d wrongly", summary.ChatsAnswered, summary.ChatsSent, summary.Wrong)
	}
	if missing := summary.OrdersSent - summary.OrdersAnswered; missing > 0 {
		t.Errorf("%d of %d orders have no answer", missing, summary.OrdersSent)
	}
	fl.checkOrders(t, report)
}
