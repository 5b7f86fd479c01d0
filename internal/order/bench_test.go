package order

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// benchHost is a machine with its own log.
type benchHost struct {
	machine *Machine
	log     fakeLog
	now     time.Time
	appends int
	running []chestnutroad.RequestID
	replies int
}

func newBenchHost(opts ...Option) *benchHost {
	bh := &benchHost{machine: New("host", 1, opts...), now: time.Unix(1_800_000_000, 0)}
	bh.machine.ReadBatch(bh.now, bh.log.read(0, 0))
	return bh
}

func (bh *benchHost) handle(actions []Action) {
	for _, action := range actions {
		switch ac := action.(type) {
		case Append:
			bh.appends++
			bh.log.add(bh.now, ac.Data)
			bh.handle(bh.machine.AppendResult(bh.now, ac.BatchID, record.AppendOK))
		case Run:
			bh.running = append(bh.running, ac.Request)
		case Reply:
			bh.replies++
		}
	}
}

func (bh *benchHost) submit(number int) {
	bh.handle(bh.machine.Submit(bh.now, Order{
		Request: chestnutroad.RequestID(fmt.Sprintf("request-%d", number)), Team: "team",
		Key: chestnutroad.IdempotencyKey(fmt.Sprintf("key-%d", number)), Digest: digest(nil),
	}))
}

// advance advances the clock, reads the log and completes the running orders.
func (bh *benchHost) advance(step time.Duration) {
	bh.now = bh.now.Add(step)
	bh.handle(bh.machine.Tick(bh.now))
	bh.handle(bh.machine.ReadBatch(bh.now, bh.log.read(bh.machine.NextOffset(), 1000)))
	running := bh.running
	bh.running = nil
	for _, request := range running {
		bh.handle(bh.machine.TargetDone(bh.now, request, 200, nil, []byte(`{"Accepted":true}`)))
	}
}

// BenchmarkOrder measures an order from Submit to its outcome in the log, with 10 orders per batch.
func BenchmarkOrder(b *testing.B) {
	bh := newBenchHost()
	for number := 0; b.Loop(); number++ {
		bh.submit(number)
		if number%10 == 9 {
			bh.advance(DefaultAppendInterval)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/order")
}

// BenchmarkTableMemory measures the memory that the table needs per claim with its outcome.
func BenchmarkTableMemory(b *testing.B) {
	for _, claims := range []int{1_000, 30_000, 300_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerClaim(claims), "bytes/claim")
			}
		})
	}
}

func bytesPerClaim(claims int) float64 {
	before := heapBytes()
	tb := newTable()
	for number := range claims {
		tb.Apply(chestnutroad.Record{
			Offset: chestnutroad.Offset(number), Appended: time.Unix(1_800_000_000, 0), Data: benchEntries(number),
		})
		tb.takeTouched()
	}
	used := heapBytes() - before
	runtime.KeepAlive(tb)
	return used / float64(claims)
}

func benchEntries(number int) []byte {
	key := chestnutroad.IdempotencyKey(fmt.Sprintf("0b9d6c1e-7a4f-4a53-9d0c-%012d", number))
	claimant := record.Claimant{Host: "host", Incarnation: 1, Sequence: uint64(number)}
	body := fmt.Appendf(nil, `{"Order":"accepted","Number":%d}`, number)
	outcome := &Outcome{Status: 200, Body: body, BodyDigest: digest(body)}
	return record.EncodeOrders([]record.Entry{
		{Type: record.EntryClaim, Team: "team", Key: key, Claimant: claimant, Digest: digest([]byte(key)), KeepMs: 1 << 40},
		{Type: record.EntryOutcome, Team: "team", Key: key, Claimant: claimant, Outcome: outcome},
	})
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// appendRates returns the appends and the completed orders per second of one of several owners at a constant order rate.
func appendRates(ordersPerSecond, owners int, simulated time.Duration) (appends, orders float64) {
	const step = time.Millisecond
	bh := newBenchHost()
	bh.machine.SetOwners(owners)
	submitted := 0
	for elapsed := time.Duration(0); elapsed < simulated; elapsed += step {
		for submitted < int(float64(ordersPerSecond)*elapsed.Seconds()) {
			bh.submit(submitted)
			submitted++
		}
		bh.advance(step)
	}
	return float64(bh.appends) / simulated.Seconds(), float64(bh.replies) / simulated.Seconds()
}

// BenchmarkAppendBudget reports the appends per second of one of several owners by its orders per second.
func BenchmarkAppendBudget(b *testing.B) {
	for _, owners := range []int{1, 7, 30} {
		for _, orders := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("owners=%d/orders=%d", owners, orders), func(b *testing.B) {
				for b.Loop() {
					appends, done := appendRates(orders, owners, 10*time.Second)
					b.ReportMetric(appends, "appends/s")
					b.ReportMetric(appends*float64(owners), "appends/s-all-owners")
					b.ReportMetric(done, "orders/s")
				}
			})
		}
	}
}

// TestAppendBudget guards against owners that together exceed the append budget, or that fall behind their orders because
// of it.
func TestAppendBudget(t *testing.T) {
	t.Parallel()
	for _, owners := range []int{1, 7, 30, 340} {
		appends, orders := appendRates(200, owners, 5*time.Second)
		if total := appends * float64(owners); total > DefaultAppendBudget*1.01+float64(owners)/5 {
			t.Errorf("%d owners: %.0f appends/s in total, budget %d", owners, total, DefaultAppendBudget)
		}
		if appends > float64(time.Second/DefaultAppendInterval)+1 {
			t.Errorf("%d owners: %.0f appends/s by one owner", owners, appends)
		}
		if orders < 100 {
			t.Errorf("%d owners: %.0f of 200 orders/s completed", owners, orders)
		}
	}
}
