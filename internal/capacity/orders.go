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

// orderStep is the simulated time between two steps of an owner.
const orderStep = 5 * time.Millisecond

func measureOrders(uint64) ([]Series, error) {
	rates := []int{10, 100, 1_000}
	series := []Series{
		measureSeries("remembered order", "bytes/order", "orders", []int{1_000, 30_000, 300_000}, bytesPerRetainedOrder),
	}
	for _, owners := range []int{1, 7, 30} {
		series = append(series, measureSeries(fmt.Sprintf("appends of all of %d owners", owners), "appends/s",
			"orders/s of one owner", rates, func(rate int) float64 { return simulateOwner(rate, owners).appends * float64(owners) }))
	}
	return append(series,
		measureSeries("log bytes of an order, 7 owners", "bytes/order", "orders/s of one owner", rates, func(rate int) float64 {
			return simulateOwner(rate, 7).bytesPerOrder
		}),
		measureSeries("order at its owner, processor", "us/order", "orders/s of one owner", rates, func(rate int) float64 {
			return simulateOwner(rate, 1).microsecondsPerOrder
		}),
		measureSeries("order at a host that follows the stream", "us/order", "orders remembered",
			[]int{1_000, 30_000, 300_000}, timePerFollowedOrder),
	), nil
}

// orderHost runs an order machine with an in-memory log in simulated time.
type orderHost struct {
	machine *order.Machine
	now     time.Time
	records []chestnutroad.Record
	running []chestnutroad.RequestID
	bytes   int
	replies int
}

// apply carries out the actions of the machine: appends succeed at once, requests stay running until the next step completes
// them, and replies are counted.
func (oh *orderHost) apply(actions []order.Action) {
	for _, action := range actions {
		switch ac := action.(type) {
		case order.Append:
			oh.bytes += len(ac.Data)
			oh.records = append(oh.records, chestnutroad.Record{
				Offset: chestnutroad.Offset(len(oh.records)), Appended: oh.now, Data: ac.Data,
			})
			oh.apply(oh.machine.AppendResult(oh.now, ac.BatchID, record.AppendOK))
		case order.Run:
			oh.running = append(oh.running, ac.Request)
		case order.Reply:
			oh.replies++
		}
	}
}

// readLog passes the records that the machine has not read to it.
func (oh *orderHost) readLog() {
	next := chestnutroad.Offset(len(oh.records))
	batch := chestnutroad.Batch{Next: next, Records: oh.records[oh.machine.NextOffset():]}
	oh.apply(oh.machine.ReadBatch(oh.now, batch))
}

// step advances the time by orderStep and completes the running requests.
func (oh *orderHost) step() {
	oh.now = oh.now.Add(orderStep)
	oh.apply(oh.machine.Tick(oh.now))
	oh.readLog()
	running := oh.running
	oh.running = nil
	for _, request := range running {
		oh.apply(oh.machine.TargetDone(oh.now, request, 200, nil, []byte(`{"Accepted":true}`)))
	}
}

func (oh *orderHost) submit(number int) {
	oh.apply(oh.machine.Submit(oh.now, order.Order{
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

// ownerCost is the cost of orders at one of several owners.
type ownerCost struct {
	// appends is a rate a second of simulated time. The others are means for an answered order, microseconds in real time.
	appends, bytesPerOrder, microsecondsPerOrder float64
}

// simulateOwner submits orders to one of several owners at a constant rate a second for 10 s of simulated time.
func simulateOwner(rate, owners int) ownerCost {
	const simulated = 10 * time.Second
	oh := &orderHost{machine: order.New("host-0", 1), now: startTime}
	oh.machine.SetOwners(owners)
	oh.readLog()
	started := time.Now()
	submitted := 0
	for elapsed := time.Duration(0); elapsed < simulated; elapsed += orderStep {
		for submitted < int(float64(rate)*elapsed.Seconds()) {
			oh.submit(submitted)
			submitted++
		}
		oh.step()
	}
	answered := float64(max(oh.replies, 1))
	return ownerCost{
		appends:              float64(len(oh.records)) / simulated.Seconds(),
		bytesPerOrder:        float64(oh.bytes) / answered,
		microsecondsPerOrder: float64(time.Since(started).Microseconds()) / answered,
	}
}

// orderRecord returns a log record with the claim and the outcome of one order.
func orderRecord(number int) chestnutroad.Record {
	claimant := record.Claimant{Host: "host-0", Incarnation: 1, Sequence: uint64(number)}
	body := fmt.Appendf(nil, `{"Order":"accepted","Number":%d}`, number)
	key := orderKey(number)
	return chestnutroad.Record{
		Offset: chestnutroad.Offset(number), Appended: startTime,
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

// followOrders returns the order machine of a host that has read the orders of another host from the log.
func followOrders(orders int) *order.Machine {
	machine := order.New("host-1", 1)
	for number := range orders {
		machine.ReadBatch(startTime, chestnutroad.Batch{
			Next: chestnutroad.Offset(number + 1), Records: []chestnutroad.Record{orderRecord(number)},
		})
	}
	return machine
}

func bytesPerRetainedOrder(orders int) float64 {
	return heapBytesPerItem(orders, func() any { return followOrders(orders) })
}

func timePerFollowedOrder(orders int) float64 {
	records := make([]chestnutroad.Record, orders)
	for number := range records {
		records[number] = orderRecord(number)
	}
	machine := order.New("host-1", 1)
	started := time.Now()
	for number := range records {
		machine.ReadBatch(startTime, chestnutroad.Batch{Next: chestnutroad.Offset(number + 1), Records: records[number : number+1]})
	}
	return float64(time.Since(started).Nanoseconds()) / 1000 / float64(orders)
}
