package chestnutroad

import (
	"context"
	"errors"
	"time"
)

// KeyedStream names a stream of the platform's store that keeps the newest record of each key.
type KeyedStream string

// The keyed streams that the system uses.
const (
	KeyedConfiguration KeyedStream = "Configuration"
	KeyedTargets       KeyedStream = "Targets"
	KeyedHosts         KeyedStream = "Hosts"
)

// ErrRecordsGone says that records after the asked offset were deleted, so that the newest of each key must be read.
var ErrRecordsGone = errors.New("the records were deleted")

// ErrBadEra says that an answer of the store states its era in a form that can't be read, or more than one era.
var ErrBadEra = errors.New("the era of the store can't be read")

// KeyedRecord is a record of a keyed stream; an empty value drops the key.
type KeyedRecord struct {
	Position Position
	Key      string
	Value    []byte
}

// KeyedBatch is the answer to a read of a keyed stream.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the position to read on from, in the era that the store stated.
	Next Position
	// Unreadable is the number of records that were passed over because they have no key.
	Unreadable int
}

// PageOptions says how the pages of a read of all newest records are read; the zero value reads them all without a limit.
type PageOptions struct {
	// Timeout bounds the time of each page; zero for none.
	Timeout time.Duration
	// Continue is asked before each page but the first, and its error ends the read.
	Continue func(ctx context.Context) error
}

// KeyedStore is the platform's store of keyed streams.
type KeyedStore interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, stream KeyedStream, pages PageOptions) (KeyedBatch, error)
	// Read returns the records from the position's offset on, or ErrRecordsGone when the store does not have it; it waits up
	// to wait for the first record. The answer may be of another era than the position.
	Read(ctx context.Context, stream KeyedStream, from Position, wait time.Duration) (KeyedBatch, error)
	// Put writes the newest value of a key; after an error the write may still take effect.
	Put(ctx context.Context, stream KeyedStream, key string, value []byte) error
}
