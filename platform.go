package chestnutroad

import (
	"context"
	"time"
)

// Stream names a stream of the platform's log.
type Stream string

// The streams.
const (
	StreamConfiguration Stream = "Configuration"
	StreamOrders        Stream = "Orders"
	StreamControl       Stream = "Control"
	// StreamStarts holds the software versions at which streams began.
	StreamStarts Stream = "StreamStarts"
)

// Record is a record of a log stream.
type Record struct {
	Offset   Offset
	Appended time.Time
	Data     []byte
}

// Batch is the result of a read of a log stream.
type Batch struct {
	// Oldest is the offset of the oldest record that the log retains, or Next when it retains none.
	Oldest Offset
	// Next is the offset that the next appended record gets.
	Next    Offset
	Records []Record
	// Era is the era that the store stated, see Position; logs of the product's own interface know none.
	Era Era `json:"-"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends a record and returns its offset; after an error the record may still have been appended.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records from the offset on; it waits up to wait when there is none yet.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}

// Role is the role of a machine in the platform's host list.
type Role string

// The roles: a host of the router fleet, and a machine that runs a target.
const (
	RoleRouter Role = "Router"
	RoleTarget Role = "Target"
)

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Name       string
	Role       Role
	Service    ServiceID `json:",omitempty"`
	DataCentre DataCentreID
	// Address is the IP address and port at which the machine serves.
	Address string
	Leaving bool
}

// HostList is the platform's list of live and leaving machines; its entries may be out of date.
type HostList interface {
	// Hosts returns the current entries of the list.
	Hosts(ctx context.Context) ([]ListedHost, error)
}
