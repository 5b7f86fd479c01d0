package record

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// EntryType is the kind of an entry in an Orders record.
type EntryType string

// The types of the entries in an Orders record.
const (
	EntryClaim   EntryType = "Claim"
	EntryOutcome EntryType = "Outcome"
	EntryRelease EntryType = "Release"
)

// Claimant identifies one claim of one incarnation of a host; a host numbers its claims in ascending order.
type Claimant struct {
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	Sequence    uint64
}

// IsZero reports whether the claimant identifies no claim.
func (cl Claimant) IsZero() bool { return cl == Claimant{} }

// SameIncarnation reports whether both claims were made by the same incarnation of the same host.
func (cl Claimant) SameIncarnation(other Claimant) bool {
	return cl.Host == other.Host && cl.Incarnation == other.Incarnation
}

// Outcome is the first answer to an order.
type Outcome struct {
	Status int         `json:",omitempty"`
	Header http.Header `json:",omitempty"`
	Body   []byte      `json:",omitempty"`
	// BodyDigest is the hash of the whole body, also when Body is omitted.
	BodyDigest string `json:",omitempty"`
	// BodyOmitted is true when the body was too long to store.
	BodyOmitted bool `json:",omitempty"`
	// Unknown is true when the claimant can't determine whether the order was executed.
	Unknown bool `json:",omitempty"`
}

// Entry is a claim, an outcome or a release of an order.
type Entry struct {
	Type     EntryType
	Team     chestnutroad.TeamID
	Key      chestnutroad.IdempotencyKey
	Claimant Claimant
	// Digest is the hash of the request body of a claim.
	Digest string `json:",omitempty"`
	// KeepMs is how many milliseconds readers remember a claim or a release, counted from the time at which the log appended
	// it. It is part of the record so that readers with different settings derive the same state.
	KeepMs  int64    `json:",omitempty"`
	Outcome *Outcome `json:",omitempty"`
}

// Orders is a log record with the entries that one host appended together.
type Orders struct {
	Type    Type
	Entries []Entry
}

// OrdersBuilder builds an Orders record entry by entry, so that its size is known before each further entry.
type OrdersBuilder struct{ data []byte }

const (
	ordersPrefix = `{"Type":"` + string(TypeOrders) + `","Entries":[`
	ordersSuffix = `]}`
)

// Add appends an entry.
func (ob *OrdersBuilder) Add(entry *Entry) {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode entry of type %s", entry.Type))
	}
	if len(ob.data) > 0 {
		ob.data = append(ob.data, ',')
	}
	ob.data = append(ob.data, data...)
}

// Size returns the size of the record in bytes, or 0 before the first entry is added.
func (ob *OrdersBuilder) Size() int {
	if len(ob.data) == 0 {
		return 0
	}
	return len(ordersPrefix) + len(ob.data) + len(ordersSuffix)
}

// Record returns the log record with the entries added so far.
func (ob *OrdersBuilder) Record() []byte {
	return slices.Concat([]byte(ordersPrefix), ob.data, []byte(ordersSuffix))
}

// EncodeOrders returns the Orders record with the entries.
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
