package chestnutroad

import (
	"context"
	"errors"
	"time"
)

// KeyedStream names a compacted stream of the platform's store, which may delete any record but the newest of its key.
type KeyedStream string

// The keyed streams.
const (
	KeyedConfiguration KeyedStream = "Configuration"
	KeyedTargets       KeyedStream = "Targets"
	KeyedHosts         KeyedStream = "Hosts"
	// KeyedVersions holds for each service the software versions in use.
	KeyedVersions KeyedStream = "Versions"
	// KeyedEvidence holds for each data centre the crash evidence of its hosts.
	KeyedEvidence KeyedStream = "Evidence"
)

// ErrRecordsGone is returned when the store does not have the requested offset; the caller must read the newest record of each
// key instead.
var ErrRecordsGone = errors.New("the store does not have the requested offset")

// ErrBadEra is returned when the store states an era that can't be parsed, or more than one era for one result.
var ErrBadEra = errors.New("invalid or ambiguous era of the store")

// ErrConflict is returned by a conditional write when the stream has other records than the condition states.
var ErrConflict = errors.New("the stream has changed since it was read")

// KeyedRecord is a record of a keyed stream; an empty value deletes the key.
type KeyedRecord struct {
	Position Position
	Key      string
	Value    []byte
}

// KeyedBatch is the result of a read of a keyed stream.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the position from which to continue, in the era that the store stated.
	Next Position
	// Unreadable is the number of records that were skipped because they have no valid key.
	Unreadable int
	// Incomplete is true when the store has more records after Next than the answer could hold.
	Incomplete bool
}

// PageOptions controls how KeyedStore.Newest reads its pages; the zero value reads all pages without a time limit.
type PageOptions struct {
	// Timeout limits the time of each page; zero means no limit.
	Timeout time.Duration
	// Continue is called before each page except the first; its error ends the read. It may be nil.
	Continue func(ctx context.Context) error
}

// KeyedStore is the platform's store of keyed streams.
type KeyedStore interface {
	// Newest returns the newest record of each key that was not deleted.
	Newest(ctx context.Context, stream KeyedStream, options PageOptions) (KeyedBatch, error)
	// Read returns the records from the position's offset on, or ErrRecordsGone when the store does not have the offset. It
	// waits up to wait for the first record. The result may be of another era than the position.
	Read(ctx context.Context, stream KeyedStream, from Position, wait time.Duration) (KeyedBatch, error)
	// Put appends a record with the new value of a key; after an error the write may still take effect.
	Put(ctx context.Context, stream KeyedStream, key string, value []byte) error
	// PutAt is Put if the stream ends at the position, and returns the position after the record; otherwise it returns ErrConflict. It does
	// so, too, for a position of an earlier era than the store's, in which case the write may have taken effect.
	PutAt(ctx context.Context, stream KeyedStream, key string, value []byte, end Position) (Position, error)
}
