package chestnutroad

import (
	"context"
	"time"
)

// Stream names a stream of the platform's log.
type Stream string

// The streams that the system uses.
const (
	StreamConfiguration Stream = "Configuration"
	StreamOrders        Stream = "Orders"
	StreamControl       Stream = "Control"
)

// Record is one entry of a log stream.
type Record struct {
	Offset   Offset
	Appended time.Time
	Data     []byte
}

// Batch is the answer to a read of a log stream.
type Batch struct {
	// Oldest is the offset of the first record that the log still keeps, or Next when it keeps none.
	Oldest Offset
	// Next is the offset that the next appended record gets.
	Next    Offset
	Records []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset; after an error the record may still have been added.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records from the offset on, waiting up to wait when there is none yet.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}

// Role says what a listed machine does.
type Role string

// The roles in the platform's host list.
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
	// Address is the IP number and port that the machine serves.
	Address string
	Leaving bool
}

// HostList is the platform's list of live and leaving machines; it lags.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
