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
	maxBodyBytes = 1 << 20
	// stockRange limits the quantity in the answer to a lookup.
	stockRange = 1000
)

// Execution counts how often the order or booking with an idempotency key ran.
type Execution struct {
	Path  string
	Key   string
	Count int
}

// Executions is the body of the answer to GET /admin/executions.
type Executions struct {
	Executions []Execution
	// Lookups counts the answered lookups.
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

// workKey identifies an order or booking by its path and idempotency key.
type workKey struct{ path, key string }

// Service answers lookups, and executes orders and bookings and counts them by idempotency key.
type Service struct {
	deduplicate bool
	workTime    time.Duration
	faults      *standin.FaultInjector

	mu         sync.Mutex
	lastNumber int
	lookups    int
	counts     map[workKey]int
	receipts   map[workKey]Receipt
}

// Option configures a Service.
type Option func(*Service)

// WithDeduplication makes the service answer a repeated idempotency key with the first receipt instead of executing the request
// again.
func WithDeduplication() Option {
	return func(sv *Service) { sv.deduplicate = true }
}

// WithWorkTime sets the time that each request takes.
func WithWorkTime(span time.Duration) Option {
	return func(sv *Service) { sv.workTime = span }
}

// WithFaultInjector sets the injector whose faults the service applies.
func WithFaultInjector(injector *standin.FaultInjector) Option {
	return func(sv *Service) { sv.faults = injector }
}

// New returns a service that has executed nothing.
func New(options ...Option) *Service {
	sv := &Service{
		faults:   standin.NewFaultInjector(standin.Faults{}),
		counts:   make(map[workKey]int),
		receipts: make(map[workKey]Receipt),
	}
	for _, option := range options {
		option(sv)
	}
	return sv
}

// Start serves a new service on the address.
func Start(address string, options ...Option) (*standin.Server, error) {
	sv := New(options...)
	return standin.Start(address, sv.faults, sv.Handler())
}

// FaultInjector returns the injector of the service's faults.
func (sv *Service) FaultInjector() *standin.FaultInjector { return sv.faults }

// Handler returns the handler of lookups, orders, bookings and the execution counts.
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

// Executions returns the execution counts, sorted by path and key.
func (sv *Service) Executions() Executions {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	list := make([]Execution, 0, len(sv.counts))
	for work, count := range sv.counts {
		list = append(list, Execution{Path: work.path, Key: work.key, Count: count})
	}
	slices.SortFunc(list, func(a, b Execution) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
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

// serveWork executes an order or a booking. Once the body has been read, it runs to its end even if the client disconnects.
func (sv *Service) serveWork(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxBodyBytes))
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	work := workKey{path: req.URL.Path, key: req.Header.Get(target.HeaderIdempotencyKey)}
	receipt := sv.execute(work, body)
	time.Sleep(sv.workTime)
	if sv.faults.TakeLostAnswer() {
		standin.Abort(rw)
		return
	}
	standin.WriteJSON(rw, http.StatusOK, receipt)
}

// execute counts an execution and returns its receipt, or the first receipt if repeated keys are deduplicated.
func (sv *Service) execute(work workKey, body []byte) Receipt {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	first, repeated := sv.receipts[work]
	if repeated && sv.deduplicate {
		return first
	}
	sv.lastNumber++
	sv.counts[work]++
	receipt := Receipt{Number: sv.lastNumber, Key: work.key, Digest: xxhash.Sum64(body)}
	if !repeated {
		sv.receipts[work] = receipt
	}
	return receipt
}
