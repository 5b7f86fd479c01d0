package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/load"
	"github.com/chestnutroad/chestnutroad/internal/operator"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
)

// readyTimeout limits the wait for all hosts to be ready. It exceeds the time after which a host takes over unowned shards.
const readyTimeout = 20 * time.Second

// Plan configures a demo.
type Plan struct {
	Files []settings.File
	// Site is the site's id; if empty, the first site of the settings is used.
	Site     string
	Hosts    int
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	Seed uint64
	// Token is the callers' bearer token.
	Token string
	// Logs receives the hosts' log lines from level warn on.
	Logs io.Writer
}

// Result holds the results of a demo.
type Result struct {
	Load     load.Summary
	Measures Measures
	// OrdersRun is the number of orders that the order service executed, OrdersRunTwice those executed more than once.
	OrdersRun      int
	OrdersRunTwice int
	// Complete is true if every chat and order was answered, no answer was wrong, no stream broke off and no order was
	// executed twice.
	Complete bool
}

// Run starts the site, sends load to it, stops one engine halfway through and returns the results.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	st, err := newSite(plan.Files, plan.Site)
	if err != nil {
		return nil, err
	}
	defer st.close()
	if err := st.startHosts(ctx, plan.Hosts, plan.Logs); err != nil {
		return nil, err
	}
	if err := st.awaitReady(ctx); err != nil {
		return nil, err
	}
	sampling, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	sampler := st.startSampler(sampling)
	before, err := st.totalControlBytes(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	kill := time.AfterFunc(plan.Duration/2, func() { st.killEngine(0) })
	defer kill.Stop()
	report := load.Run(ctx, st.loadPlan(plan))
	after, err := st.totalControlBytes(ctx)
	if err != nil {
		return nil, err
	}
	stopSampling()
	<-sampler.done
	result := &Result{Load: report.Summary(), Measures: sampler.measures}
	result.Measures.ControlBytesPerHost = (after - before) / time.Since(started).Seconds() / float64(plan.Hosts)
	result.Measures.CacheReuse = st.cacheReuse(result.Load.ReusableTokens)
	st.countOrders(result)
	result.Complete = isComplete(result)
	return result, nil
}

func isComplete(result *Result) bool {
	summary := result.Load
	return summary.ChatsAnswered == summary.ChatsSent && summary.OrdersAnswered == summary.OrdersSent &&
		summary.Wrong == 0 && summary.Broken["stream"] == 0 && result.OrdersRunTwice == 0
}

// loadPlan returns a load with the model and the POST route of the site's services.
func (st *site) loadPlan(plan Plan) load.Plan {
	lp := load.Plan{
		Entries: st.entries, Token: plan.Token, OrderShare: 0.2, Rate: plan.Rate, Duration: plan.Duration,
		Chats: 40, MaxTokens: 48, Seed: plan.Seed, CheckChat: checkChat,
	}
	for _, svc := range st.effective.Services {
		if svc.Model != "" {
			lp.Model = svc.Model
		}
		for _, route := range svc.Routes {
			if route.Method == http.MethodPost {
				lp.OrderPath = route.Path
			}
		}
	}
	return lp
}

// checkChat compares a chat's answer with the one that every engine stand-in gives to the same body.
func checkChat(body []byte, content string) error {
	tokens, err := engine.ExpectedTokens(body, 0)
	if err != nil {
		return err
	}
	if want := strings.Join(tokens, ""); content != want {
		return errors.Newf("chat answer differs from the expected one: got %d bytes, want %d", len(content), len(want))
	}
	return nil
}

// awaitReady waits until all hosts are ready and none gives a reason for which a request might have to wait.
func (st *site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, operator := range st.operators {
		for !isReady(ctx, operator) {
			if ctx.Err() != nil {
				return errors.Newf("the host at %s was not ready in time", operator)
			}
			time.Sleep(sampleInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer operator.Readiness
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return err == nil && answer.Ready && len(answer.Reasons) == 0
}

// totalControlBytes returns the number of control bytes that all hosts have sent.
func (st *site) totalControlBytes(ctx context.Context) (float64, error) {
	total := 0.0
	for _, operator := range st.operators {
		bytes, err := controlBytes(ctx, operator)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, nil
}

// cacheReuse returns the number of prompt tokens that engines found in their caches, divided by the number of reusable
// ones, or zero if none were reusable.
func (st *site) cacheReuse(reusable int64) float64 {
	if reusable == 0 {
		return 0
	}
	reused := 0.0
	for _, running := range st.engines {
		reused += float64(running.engine.Statistics().Reused)
	}
	return reused / float64(reusable)
}

// countOrders sets the counts of executed orders; it does nothing without a plain service.
func (st *site) countOrders(result *Result) {
	if st.orders == nil {
		return
	}
	for _, execution := range st.orders.Executions().Executions {
		result.OrdersRun++
		if execution.Count > 1 {
			result.OrdersRunTwice++
		}
	}
}
