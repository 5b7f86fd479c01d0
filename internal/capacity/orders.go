package capacity

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/order"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// ordersStep is the time between two steps of a simulated owner.
const ordersStep = 5 * time.Millisecond

func measureOrders(uint64) ([]Slope, error) {
	rates := []int{10, 100, 1_000}
	slopes := []Slope{
		slope("remembered order", "bytes/order", "orders", []int{1_000, 30_000, 300_000}, bytesOfOrder),
	}
	for _, owners := range []int{1, 7, 30} {
		slopes = append(slopes, slope(fmt.Sprintf("appends of all of %d owners", owners), "appends/s",
			"orders/s of one owner", rates, func(rate int) float64 { return runOwner(rate, owners).appends * float64(owners) }))
	}
	return append(slopes,
		slope("log bytes of an order, 7 owners", "bytes/order", "orders/s of one owner", rates, func(rate int) float64 {
			return runOwner(rate, 7).bytesEach
		}),
		slope("order at its owner, processor", "us/order", "orders/s of one owner", rates, func(rate int) float64 {
			return runOwner(rate, 1).microsecondsEach
		}),
		slope("order at a host that follows the stream", "us/order", "orders remembered", []int{1_000, 30_000, 300_000}, timeOfFollowing),
	), nil
}

// ordersHost is an order machine with a log of its own.
type ordersHost struct {
	machine *order.Machine
	now     time.Time
	records []chestnutroad.Record
	running []chestnutroad.RequestID
	bytes   int
	replies int
}

func (oh *ordersHost) carryOut(actions []order.Action) {
	for _, action := range actions {
		switch ac := action.(type) {
		case order.Append:
			oh.bytes += len(ac.Data)
			oh.records = append(oh.records, chestnutroad.Record{
				Offset: chestnutroad.Offset(len(oh.records)), Appended: oh.now, Data: ac.Data,
			})
			oh.carryOut(oh.machine.AppendResult(oh.now, ac.BatchID, record.AppendOK))
		case order.Run:
			oh.running = append(oh.running, ac.Request)
		case order.Reply:
			oh.replies++
		}
	}
}

// read passes on the records that the machine has not seen.
func (oh *ordersHost) read() {
	next := chestnutroad.Offset(len(oh.records))
	batch := chestnutroad.Batch{Next: next, Records: oh.records[oh.machine.NextOffset():]}
	oh.carryOut(oh.machine.ReadBatch(oh.now, batch))
}

// advance lets a step pass and completes what runs.
func (oh *ordersHost) advance() {
	oh.now = oh.now.Add(ordersStep)
	oh.carryOut(oh.machine.Tick(oh.now))
	oh.read()
	running := oh.running
	oh.running = nil
	for _, request := range running {
		oh.carryOut(oh.machine.TargetDone(oh.now, request, 200, nil, []byte(`{"Accepted":true}`)))
	}
}

func (oh *ordersHost) submit(number int) {
	oh.carryOut(oh.machine.Submit(oh.now, order.Order{
		Request: chestnutroad.RequestID(fmt.Sprintf("request-%d", number)), Team: "team", Key: orderKey(number), Digest: digest(nil),
	}))
}

func orderKey(number int) chestnutroad.IdempotencyKey {
	return chestnutroad.IdempotencyKey(fmt.Sprintf("0b9d6c1e-7a4f-4a53-9d0c-%012d", number))
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return base64.RawStdEncoding.EncodeToString(sum[:])
}

// ownerRun is what one of several owners did with orders that arrive evenly.
type ownerRun struct {
	appends, bytesEach, microsecondsEach float64
}

func runOwner(rate, owners int) ownerRun {
	const simulated = 10 * time.Second
	oh := &ordersHost{machine: order.New("host-0", 1), now: start}
	oh.machine.SetOwners(owners)
	oh.read()
	began := time.Now()
	submitted := 0
	for elapsed := time.Duration(0); elapsed < simulated; elapsed += ordersStep {
		for submitted < int(float64(rate)*elapsed.Seconds()) {
			oh.submit(submitted)
			submitted++
		}
		oh.advance()
	}
	done := float64(max(oh.replies, 1))
	return ownerRun{
		appends:          float64(len(oh.records)) / simulated.Seconds(),
		bytesEach:        float64(oh.bytes) / done,
		microsecondsEach: float64(time.Since(began).Microseconds()) / done,
	}
}

// orderRecord is a record with the claim and the outcome of one order.
func orderRecord(number int) chestnutroad.Record {
	claimant := record.Claimant{Host: "host-0", Incarnation: 1, Sequence: uint64(number)}
	body := fmt.Appendf(nil, `{"Order":"accepted","Number":%d}`, number)
	key := orderKey(number)
	return chestnutroad.Record{
		Offset: chestnutroad.Offset(number), Appended: start,
		Data: record.EncodeOrders([]record.Entry{
			{
				Type: record.EntryClaim, Team: "team", Key: key, Claimant: claimant, Digest: digest([]byte(key)),
				KeepMs: order.DefaultRepeatWindow.Milliseconds(),
			},
			{
				Type: record.EntryOutcome, Team: "team", Key: key, Claimant: claimant,
				Outcome: &record.Outcome{Status: 200, Body: body, BodyDigest: digest(body)},
			},
		}),
	}
}

// follow reads orders on a host that runs none of them.
func follow(orders int) *order.Machine {
	machine := order.New("host-1", 1)
	for number := range orders {
		machine.ReadBatch(start, chestnutroad.Batch{
			Next: chestnutroad.Offset(number + 1), Records: []chestnutroad.Record{orderRecord(number)},
		})
	}
	return machine
}

func bytesOfOrder(orders int) float64 {
	return bytesEach(orders, func() any { return follow(orders) })
}

func timeOfFollowing(orders int) float64 {
	records := make([]chestnutroad.Record, orders)
	for number := range records {
		records[number] = orderRecord(number)
	}
	machine := order.New("host-1", 1)
	began := time.Now()
	for number := range records {
		machine.ReadBatch(start, chestnutroad.Batch{Next: chestnutroad.Offset(number + 1), Records: records[number : number+1]})
	}
	return float64(time.Since(began).Nanoseconds()) / 1000 / float64(orders)
}
