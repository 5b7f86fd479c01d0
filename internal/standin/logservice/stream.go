package logservice

import (
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// stream holds the retained records of a stream.
type stream struct {
	next    chestnutroad.Offset
	records []chestnutroad.Record
	// appended is closed and replaced at each append, which wakes the waiting reads.
	appended chan struct{}
}

func newStream() *stream { return &stream{appended: make(chan struct{})} }

func (st *stream) append(now time.Time, data []byte) chestnutroad.Offset {
	offset := st.next
	st.next++
	st.records = append(st.records, chestnutroad.Record{Offset: offset, Appended: now, Data: data})
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// expire drops the oldest records until the limits on the number and the age are met; zero means no limit.
func (st *stream) expire(now time.Time, count int, age time.Duration) {
	drop := 0
	if count > 0 {
		drop = max(0, len(st.records)-count)
	}
	for age > 0 && drop < len(st.records) && now.Sub(st.records[drop].Appended) > age {
		drop++
	}
	st.records = st.records[drop:]
}

// batch returns the retained records from the offset on, up to maxReadRecords records and maxReadBytes bytes. It returns at least
// one record if there is any, even a larger one.
func (st *stream) batch(from chestnutroad.Offset) chestnutroad.Batch {
	batch := chestnutroad.Batch{Oldest: st.next, Next: st.next}
	if len(st.records) > 0 {
		batch.Oldest = st.records[0].Offset
	}
	start := int(min(max(from-batch.Oldest, 0), chestnutroad.Offset(len(st.records))))
	size := 0
	for _, record := range st.records[start:] {
		size += len(record.Data)
		if len(batch.Records) == maxReadRecords || (size > maxReadBytes && len(batch.Records) > 0) {
			break
		}
		batch.Records = append(batch.Records, record)
	}
	return batch
}
