package engine

import (
	"net/http"
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// Engine simulates a model engine.
type Engine struct {
	id          chestnutroad.TargetID
	incarnation chestnutroad.Incarnation
	output      chestnutroad.Tokens
	tokenTime   time.Duration
	batchTime   time.Duration
	cacheTokens chestnutroad.Tokens
	faults      *standin.FaultInjector
	batch       *batch
	cache       *cache
	history     *loadHistory
	orders      orders

	mu         sync.Mutex
	statistics Statistics
}

// Statistics counts the chats and tokens of an engine since its start.
type Statistics struct {
	Started  int
	Finished int
	// Cancelled counts the started chats that ended before their last token, because the client disconnected or a fault cut
	// them off.
	Cancelled int
	// Prompt counts the prompt tokens of started chats, including the delivered tokens of resumed streams, and Reused those of
	// them that were in the prefix cache. Generated counts the generated tokens of finished chats.
	Prompt    chestnutroad.Tokens
	Reused    chestnutroad.Tokens
	Generated chestnutroad.Tokens
	// MostWork is the highest work of all waiting and running chats at one time.
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
		faults:      standin.NewFaultInjector(standin.Faults{}),
		batch:       newBatch(defaultBatchSlots, defaultMaxWaiting),
	}
	for _, option := range options {
		option(en)
	}
	en.cache = newCache(en.cacheTokens)
	en.history = newLoadHistory()
	return en
}

// Start serves a new engine on the address.
func Start(address string, options ...Option) (*standin.Server, error) {
	en := New(options...)
	return standin.Start(address, en.faults, en.Handler())
}

// FaultInjector returns the injector of the engine's faults.
func (en *Engine) FaultInjector() *standin.FaultInjector { return en.faults }

// Handler returns the handler of chats, load reports, cache events, health checks, engine orders and statistics.
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

// Health is the body of the answer to GET /v1/health.
type Health struct {
	Target      chestnutroad.TargetID
	Incarnation chestnutroad.Incarnation
}

// Statistics returns the statistics so far.
func (en *Engine) Statistics() Statistics {
	en.mu.Lock()
	defer en.mu.Unlock()
	statistics := en.statistics
	statistics.MostWork = en.history.mostWork()
	return statistics
}

func (en *Engine) updateStatistics(change func(*Statistics)) {
	en.mu.Lock()
	defer en.mu.Unlock()
	change(&en.statistics)
}
