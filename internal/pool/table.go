package pool

import (
	"math/bits"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// locationIndex is the index of a location in Owner.locations. A restarted target gets a new one, which makes its old
// entries void without a pass over the table.
type locationIndex uint32

// noEntry is the end of a linked list in the table.
const noEntry = ^uint32(0)

const (
	entriesPerChunk = 1 << 10
	minBuckets      = 1 << 8
)

// tableEntry is 32 bytes long; with its bucket an entry stays below the limit of 48 bytes per chat.
type tableEntry struct {
	chat     chestnutroad.ChatID
	lastUse  uint32 // seconds since the table's first use
	cached   uint32 // tokens
	location locationIndex
	newer    uint32 // next more recently used entry
	older    uint32 // next less recently used entry
	next     uint32 // next entry of the same bucket, or of the free list
}

// placementTable is a bounded least-recently-used map from chats to locations. Its entries are stored in chunks and
// linked by index, since a Go map with a linked list takes more than twice the memory.
type placementTable struct {
	limit   int
	start   time.Time
	chunks  [][]tableEntry
	buckets []uint32 // first entry of each bucket
	used    uint32   // entries allocated from the chunks so far, with those in the free list
	free    uint32   // first entry of the free list
	size    int
	newest  uint32
	oldest  uint32
}

func newPlacementTable(limit int) *placementTable {
	tb := &placementTable{limit: limit, free: noEntry, newest: noEntry, oldest: noEntry}
	tb.resize(minBuckets)
	return tb
}

func (tb *placementTable) at(index uint32) *tableEntry {
	return &tb.chunks[index/entriesPerChunk][index%entriesPerChunk]
}

// bucketOf returns the chat's bucket by Fibonacci hashing, since callers' chat ids may be unevenly distributed.
func (tb *placementTable) bucketOf(chat chestnutroad.ChatID) *uint32 {
	shift := 64 - bits.Len(uint(len(tb.buckets)-1))
	return &tb.buckets[(uint64(chat)*0x9E3779B97F4A7C15)>>shift]
}

func (tb *placementTable) find(chat chestnutroad.ChatID) uint32 {
	index := *tb.bucketOf(chat)
	for index != noEntry && tb.at(index).chat != chat {
		index = tb.at(index).next
	}
	return index
}

// get returns the chat's entry without marking it as used.
func (tb *placementTable) get(chat chestnutroad.ChatID) (tableEntry, bool) {
	index := tb.find(chat)
	if index == noEntry {
		return tableEntry{}, false
	}
	return *tb.at(index), true
}

// put stores the chat's location and cached tokens as the most recent use.
func (tb *placementTable) put(now time.Time, chat chestnutroad.ChatID, location locationIndex, cached chestnutroad.Tokens) {
	index := tb.find(chat)
	if index == noEntry {
		index = tb.insert(chat)
	} else {
		tb.unlink(index)
	}
	en := tb.at(index)
	en.location = location
	en.cached = uint32(min(max(0, cached), chestnutroad.Tokens(^uint32(0))))
	en.lastUse = tb.stamp(now)
	tb.linkNewest(index)
}

// setCached changes the cached tokens without marking the entry as used.
func (tb *placementTable) setCached(chat chestnutroad.ChatID, cached chestnutroad.Tokens) {
	if index := tb.find(chat); index != noEntry {
		tb.at(index).cached = uint32(min(max(0, cached), chestnutroad.Tokens(^uint32(0))))
	}
}

func (tb *placementTable) remove(chat chestnutroad.ChatID) {
	if index := tb.find(chat); index != noEntry {
		tb.drop(index)
	}
}

func (tb *placementTable) setLimit(limit int) {
	tb.limit = limit
	for tb.size > tb.limit {
		tb.drop(tb.oldest)
	}
}

// each calls visit for every entry, the least recently used first.
func (tb *placementTable) each(visit func(tableEntry)) {
	for index := tb.oldest; index != noEntry; index = tb.at(index).newer {
		visit(*tb.at(index))
	}
}

func (tb *placementTable) stamp(now time.Time) uint32 {
	if tb.start.IsZero() {
		tb.start = now
	}
	return uint32(max(0, now.Sub(tb.start)/time.Second))
}

func (tb *placementTable) insert(chat chestnutroad.ChatID) uint32 {
	if tb.size >= tb.limit {
		tb.drop(tb.oldest)
	}
	if tb.size >= len(tb.buckets) {
		tb.resize(2 * len(tb.buckets))
	}
	index := tb.allocate()
	bucket := tb.bucketOf(chat)
	*tb.at(index) = tableEntry{chat: chat, next: *bucket}
	*bucket = index
	tb.size++
	return index
}

func (tb *placementTable) allocate() uint32 {
	if tb.free != noEntry {
		index := tb.free
		tb.free = tb.at(index).next
		return index
	}
	if int(tb.used) == len(tb.chunks)*entriesPerChunk {
		tb.chunks = append(tb.chunks, make([]tableEntry, entriesPerChunk))
	}
	tb.used++
	return tb.used - 1
}

func (tb *placementTable) drop(index uint32) {
	tb.unlink(index)
	en := tb.at(index)
	link := tb.bucketOf(en.chat)
	for *link != index {
		link = &tb.at(*link).next
	}
	*link = en.next
	en.next = tb.free
	tb.free = index
	tb.size--
}

func (tb *placementTable) unlink(index uint32) {
	en := tb.at(index)
	if en.newer == noEntry {
		tb.newest = en.older
	} else {
		tb.at(en.newer).older = en.older
	}
	if en.older == noEntry {
		tb.oldest = en.newer
	} else {
		tb.at(en.older).newer = en.newer
	}
}

func (tb *placementTable) linkNewest(index uint32) {
	en := tb.at(index)
	en.newer = noEntry
	en.older = tb.newest
	if tb.newest == noEntry {
		tb.oldest = index
	} else {
		tb.at(tb.newest).newer = index
	}
	tb.newest = index
}

func (tb *placementTable) resize(buckets int) {
	tb.buckets = make([]uint32, buckets)
	for bucket := range tb.buckets {
		tb.buckets[bucket] = noEntry
	}
	for index := tb.oldest; index != noEntry; index = tb.at(index).newer {
		bucket := tb.bucketOf(tb.at(index).chat)
		tb.at(index).next = *bucket
		*bucket = index
	}
}
