package service

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

const (
	maxBody = 1 << 20
	// stockRange bounds the quantity that a lookup answers with.
	stockRange = 1000
)

// Execution counts how often the work under one idempotency key ran.
type Execution struct {
	Path  string
	Key   string
	Count int
}

// Executions is the answer to GET /admin/executions.
type Executions struct {
	Executions []Execution
	// Lookups counts the lookups answered.
	Lookups int
}

// Receipt is the answer to an order or a booking.
type Receipt struct {
	Number int
	Key    string
	Digest uint64
}

// Stock is the answer to a lookup.
type Stock struct {
	Item     string
	Quantity uint64
}

type workKey struct{ path, key string }

// Service counts what it executes.
type Service struct {
	deduplicate bool
	workTime    time.Duration
	switches    *standin.FaultInjector

	mu       sync.Mutex
	number   int
	lookups  int
	counts   map[workKey]int
	receipts map[workKey]Receipt
}

// Option changes a service.
type Option func(*Service)

// WithDeduplication has the service answer a repeated key with the first receipt instead of executing it again.
func WithDeduplication() Option {
	return func(sv *Service) { sv.deduplicate = true }
}

// WithWorkTime sets how long each execution takes.
func WithWorkTime(span time.Duration) Option {
	return func(sv *Service) { sv.workTime = span }
}

// WithFaultInjector has the service obey these faults.
func WithFaultInjector(switches *standin.FaultInjector) Option {
	return func(sv *Service) { sv.switches = switches }
}

// New returns a service that has executed nothing.
func New(options ...Option) *Service {
	sv := &Service{
		switches: standin.NewFaultInjector(standin.Faults{}),
		counts:   make(map[workKey]int),
		receipts: make(map[workKey]Receipt),
	}
	for _, option := range options {
		option(sv)
	}
	return sv
}

// Start serves a service at the address.
func Start(address string, options ...Option) (*standin.Server, error) {
	sv := New(options...)
	return standin.Start(address, sv.switches, sv.Handler())
}

// FaultInjector returns the service's faults.
func (sv *Service) FaultInjector() *standin.FaultInjector { return sv.switches }

// Handler serves lookups, orders, bookings and the count of executions.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock/{item}", sv.serveStock)
	mux.HandleFunc("POST /orders", sv.serveWork)
	mux.HandleFunc("POST /bookings", sv.serveWork)
	mux.HandleFunc("GET /admin/executions", func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, http.StatusOK, sv.Executions())
	})
	return mux
}

// Executions returns the counts, sorted by path and key.
func (sv *Service) Executions() Executions {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	list := make([]Execution, 0, len(sv.counts))
	for work, count := range sv.counts {
		list = append(list, Execution{Path: work.path, Key: work.key, Count: count})
	}
	slices.SortFunc(list, func(left, right Execution) int {
		return cmp.Or(cmp.Compare(left.Path, right.Path), cmp.Compare(left.Key, right.Key))
	})
	return Executions{Executions: list, Lookups: sv.lookups}
}

func (sv *Service) serveStock(rw http.ResponseWriter, req *http.Request) {
	if standin.Sleep(req.Context(), sv.workTime) != nil {
		return
	}
	item := req.PathValue("item")
	sv.mu.Lock()
	sv.lookups++
	sv.mu.Unlock()
	standin.WriteJSON(rw, http.StatusOK, Stock{Item: item, Quantity: xxhash.Sum64String(item) % stockRange})
}

// serveWork executes an order or a booking; once the body has arrived it runs to its end, whether or not the client
// still waits.
func (sv *Service) serveWork(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxBody))
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	work := workKey{path: req.URL.Path, key: req.Header.Get(target.HeaderIdempotencyKey)}
	receipt := sv.execute(work, body)
	time.Sleep(sv.workTime)
	if sv.switches.TakeLostAnswer() {
		standin.Abort(rw)
		return
	}
	standin.WriteJSON(rw, http.StatusOK, receipt)
}

func (sv *Service) execute(work workKey, body []byte) Receipt {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	first, known := sv.receipts[work]
	if known && sv.deduplicate {
		return first
	}
	sv.number++
	sv.counts[work]++
	receipt := Receipt{Number: sv.number, Key: work.key, Digest: xxhash.Sum64(body)}
	if !known {
		sv.receipts[work] = receipt
	}
	return receipt
}
