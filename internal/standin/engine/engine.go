package engine

import (
	"net/http"
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// Engine answers chats with generated tokens.
type Engine struct {
	id          chestnutroad.TargetID
	incarnation chestnutroad.Incarnation
	output      chestnutroad.Tokens
	tokenTime   time.Duration
	batchTime   time.Duration
	cacheTokens chestnutroad.Tokens
	switches    *standin.FaultInjector
	batch       *batch
	cache       *cache
	reports     *reports
	orders      orders

	mu         sync.Mutex
	statistics Statistics
}

// Statistics counts what an engine did since its start.
type Statistics struct {
	Started   int
	Finished  int
	Cancelled int
	// Prompt counts prompt tokens, Reused those found in the prefix cache, and Generated the tokens of answers.
	Prompt    chestnutroad.Tokens
	Reused    chestnutroad.Tokens
	Generated chestnutroad.Tokens
	// MostWork is the highest work that the engine ever carried.
	MostWork chestnutroad.WorkUnits
}

// New returns an engine with an empty cache.
func New(options ...Option) *Engine {
	en := &Engine{
		id:          "engine",
		incarnation: chestnutroad.Incarnation(time.Now().UnixNano()),
		output:      defaultOutput,
		tokenTime:   defaultTokenTime,
		batchTime:   defaultBatchTime,
		cacheTokens: defaultCacheTokens,
		switches:    standin.NewFaultInjector(standin.Faults{}),
		batch:       newBatch(defaultBatchSlots, defaultWaiting),
	}
	for _, option := range options {
		option(en)
	}
	en.cache = newCache(en.cacheTokens)
	en.reports = newReports()
	return en
}

// Start serves an engine at the address.
func Start(address string, options ...Option) (*standin.Server, error) {
	en := New(options...)
	return standin.Start(address, en.switches, en.Handler())
}

// FaultInjector returns the engine's faults.
func (en *Engine) FaultInjector() *standin.FaultInjector { return en.switches }

// Handler serves chats, reports, events, orders and statistics.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", en.serveChat)
	mux.HandleFunc("GET /v1/load", en.serveLoad)
	mux.HandleFunc("GET /v1/cache-events", en.serveEvents)
	mux.HandleFunc("GET /v1/health", func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, http.StatusOK, Health{Target: en.id, Incarnation: en.incarnation})
	})
	mux.HandleFunc("POST /v1/orders", en.serveOrder)
	mux.HandleFunc("GET /admin/orders", func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, http.StatusOK, OrderList{Orders: en.orders.applied()})
	})
	mux.HandleFunc("GET /admin/statistics", func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, http.StatusOK, en.Statistics())
	})
	return mux
}

// Health is the answer to GET /v1/health.
type Health struct {
	Target      chestnutroad.TargetID
	Incarnation chestnutroad.Incarnation
}

// Statistics returns the counts so far.
func (en *Engine) Statistics() Statistics {
	en.mu.Lock()
	defer en.mu.Unlock()
	statistics := en.statistics
	statistics.MostWork = en.reports.mostWork()
	return statistics
}

func (en *Engine) count(change func(*Statistics)) {
	en.mu.Lock()
	defer en.mu.Unlock()
	change(&en.statistics)
}
