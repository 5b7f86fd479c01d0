package record

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// EntryType names what an entry of an Orders record says.
type EntryType string

// The entries of an Orders record.
const (
	EntryClaim   EntryType = "Claim"
	EntryOutcome EntryType = "Outcome"
	EntryRelease EntryType = "Release"
)

// Claimant names one claim of one life of a host; a host numbers its claims in rising order.
type Claimant struct {
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	Sequence    uint64
}

// IsZero reports whether the claimant names no claim.
func (cl Claimant) IsZero() bool { return cl == Claimant{} }

// SameIncarnation reports whether both claims were made by one life of one host.
func (cl Claimant) SameIncarnation(other Claimant) bool {
	return cl.Host == other.Host && cl.Incarnation == other.Incarnation
}

// Outcome is the first answer to an order.
type Outcome struct {
	Status int         `json:",omitempty"`
	Header http.Header `json:",omitempty"`
	Body   []byte      `json:",omitempty"`
	// BodyDigest is the hash of the whole body.
	BodyDigest string `json:",omitempty"`
	// BodyOmitted is true when the body was too long to keep.
	BodyOmitted bool `json:",omitempty"`
	// Unknown is true when the claimant can't tell whether the order ran.
	Unknown bool `json:",omitempty"`
}

// Entry is one step in the life of an order.
type Entry struct {
	Type     EntryType
	Team     chestnutroad.TeamID
	Key      chestnutroad.IdempotencyKey
	Claimant Claimant
	// Digest is the hash of the request body that a claim is for.
	Digest string `json:",omitempty"`
	// KeepMs is how long readers remember a claim or a release, counted from the time at which the log appended it.
	// The record carries it so that readers with different settings still derive the same state.
	KeepMs  int64    `json:",omitempty"`
	Outcome *Outcome `json:",omitempty"`
}

// Orders is a log record with the entries that one host appended together.
type Orders struct {
	Type    Type
	Entries []Entry
}

// OrdersBuilder makes an Orders record entry by entry, so that its size is known on the way.
type OrdersBuilder struct{ data []byte }

const (
	ordersHead = `{"Type":"` + string(TypeOrders) + `","Entries":[`
	ordersTail = `]}`
)

// Add appends an entry.
func (ob *OrdersBuilder) Add(entry *Entry) {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode an entry of type %s", entry.Type))
	}
	if len(ob.data) > 0 {
		ob.data = append(ob.data, ',')
	}
	ob.data = append(ob.data, data...)
}

// Size returns the size of the record in bytes; it is 0 without entries.
func (ob *OrdersBuilder) Size() int {
	if len(ob.data) == 0 {
		return 0
	}
	return len(ordersHead) + len(ob.data) + len(ordersTail)
}

// Record returns the log record.
func (ob *OrdersBuilder) Record() []byte {
	return slices.Concat([]byte(ordersHead), ob.data, []byte(ordersTail))
}

// EncodeOrders returns the log record for the entries.
func EncodeOrders(entries []Entry) []byte {
	var ob OrdersBuilder
	for index := range entries {
		ob.Add(&entries[index])
	}
	return ob.Record()
}

// DecodeOrders returns the entries of an Orders record.
func DecodeOrders(data []byte) ([]Entry, error) {
	var orders Orders
	if err := json.Unmarshal(data, &orders); err != nil {
		return nil, errors.Wrap(err, "decode orders record")
	}
	return orders.Entries, nil
}
