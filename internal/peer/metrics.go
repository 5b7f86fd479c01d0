package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutroad/chestnutroad/internal/member"
)

// streamCounters holds the counters of the drpc connections of a client or a server.
type streamCounters struct {
	dialled, streams, broken, silent, rejected *metrics.Counter
}

func newStreamCounters(set *metrics.Set, side string) *streamCounters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`chestnutroad_peer_%s_total{side=%q}`, name, side))
	}
	return &streamCounters{
		dialled:  counter("connections_dialled"),
		streams:  counter("streams"),
		broken:   counter("streams_broken"),
		silent:   counter("connections_silent"),
		rejected: counter("connections_rejected"),
	}
}

// controlCounters holds the counters of control messages. Byte counts include the IP, UDP and TCP headers.
type controlCounters struct {
	bytes, sent, delayed, dropped [member.PriorityCount]*metrics.Counter
	keepAliveBytes, unsendable    *metrics.Counter
	received                      *metrics.Counter
	rejected                      map[rejection]*metrics.Counter
}

func newControlCounters(set *metrics.Set) *controlCounters {
	counters := &controlCounters{
		keepAliveBytes: set.GetOrCreateCounter(`chestnutroad_control_bytes_total{priority="KeepAlive"}`),
		unsendable:     set.GetOrCreateCounter(`chestnutroad_control_unsendable_total`),
		received:       set.GetOrCreateCounter(`chestnutroad_datagrams_received_total`),
		rejected:       map[rejection]*metrics.Counter{},
	}
	for index := range member.PriorityCount {
		counter := func(name string) *metrics.Counter {
			priority := member.Priority(index).String()
			return set.GetOrCreateCounter(fmt.Sprintf(`chestnutroad_control_%s_total{priority=%q}`, name, priority))
		}
		counters.bytes[index] = counter("bytes")
		counters.sent[index] = counter("datagrams")
		counters.delayed[index] = counter("delayed")
		counters.dropped[index] = counter("dropped")
	}
	for _, reason := range rejections {
		name := fmt.Sprintf(`chestnutroad_datagrams_rejected_total{reason=%q}`, string(reason))
		counters.rejected[reason] = set.GetOrCreateCounter(name)
	}
	return counters
}

// update sets the counters of a priority to the budget's counts.
func (cc *controlCounters) update(priority member.Priority, counts member.BudgetCounts) {
	cc.bytes[priority].Set(counts.SentBytes)
	cc.sent[priority].Set(counts.Sent)
	cc.delayed[priority].Set(counts.Delayed)
	cc.dropped[priority].Set(counts.Dropped)
}
