package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/load"
)

// TestRouterAndEngineKilled guards against chats that get no complete answer, and orders that are lost or run twice, when a
// router and an engine are killed under load.
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
		t.Errorf("%d of %d chats got a complete answer, %d a wrong one", summary.ChatsAnswered, summary.ChatsSent, summary.Wrong)
	}
	if missing := summary.OrdersSent - summary.OrdersAnswered; missing > 0 {
		t.Errorf("%d of %d orders have no answer", missing, summary.OrdersSent)
	}
	fl.checkOrders(t, report)
}
