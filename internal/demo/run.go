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

// readyTimeout is longer than a host waits before it takes over shards that no other host owns.
const readyTimeout = 20 * time.Second

// Plan says what the demo runs.
type Plan struct {
	Files    []settings.File
	Site     string
	Hosts    int
	Duration time.Duration
	Rate     float64
	Seed     uint64
	Token    string
	Logs     io.Writer
}

// Result is the outcome of a demo.
type Result struct {
	Load     load.Summary
	Measures Measures
	// OrdersRun is the number of orders that the order service ran, OrdersRunTwice those that it ran more than once.
	OrdersRun      int
	OrdersRunTwice int
	// Complete is true when every caller got its whole answer and no order ran twice.
	Complete bool
}

// Run runs the site, kills one engine in the middle and returns what was seen.
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
	sampler := st.sample(sampling)
	before, err := st.controlTotal(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	kill := time.AfterFunc(plan.Duration/2, func() { st.killEngine(0) })
	defer kill.Stop()
	report := load.Run(ctx, st.loadPlan(plan))
	after, err := st.controlTotal(ctx)
	if err != nil {
		return nil, err
	}
	stopSampling()
	<-sampler.done
	result := &Result{Load: report.Summary(), Measures: sampler.measures}
	result.Measures.ControlBytesPerHost = (after - before) / time.Since(started).Seconds() / float64(plan.Hosts)
	result.Measures.CacheReuse = st.cacheReuse(result.Load.ReusableTokens)
	st.countOrders(result)
	result.Complete = complete(result)
	return result, nil
}

func complete(result *Result) bool {
	sent := result.Load
	return sent.ChatsAnswered == sent.ChatsSent && sent.OrdersAnswered == sent.OrdersSent &&
		sent.Wrong == 0 && sent.Broken["stream"] == 0 && result.OrdersRunTwice == 0
}

func (st *site) loadPlan(plan Plan) load.Plan {
	made := load.Plan{
		Entries: st.entries, Token: plan.Token, OrderShare: 0.2, Rate: plan.Rate, Duration: plan.Duration,
		Chats: 40, MaxTokens: 48, Seed: plan.Seed, CheckChat: checkChat,
	}
	for _, described := range st.effective.Services {
		if described.Model != "" {
			made.Model = described.Model
		}
		for _, route := range described.Routes {
			if route.Method == http.MethodPost {
				made.OrderPath = route.Path
			}
		}
	}
	return made
}

// checkChat compares an answer with what every engine stand-in answers to that body.
func checkChat(body []byte, content string) error {
	tokens, err := engine.ExpectedTokens(body, 0)
	if err != nil {
		return err
	}
	if want := strings.Join(tokens, ""); content != want {
		return errors.Newf("got %d bytes, want %d", len(content), len(want))
	}
	return nil
}

// awaitReady waits until no host names a reason for which a request could have to wait.
func (st *site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, operator := range st.operators {
		for !isReady(ctx, operator) {
			if ctx.Err() != nil {
				return errors.New("the hosts were not ready in time")
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

func (st *site) controlTotal(ctx context.Context) (float64, error) {
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

// cacheReuse compares what engines found in their caches with what the chats' earlier turns had sent.
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
