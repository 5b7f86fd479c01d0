package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Order is one try of a caller to have an order run.
type Order struct {
	Request  chestnutroad.RequestID
	Team     chestnutroad.TeamID
	Key      chestnutroad.IdempotencyKey
	Digest   string
	Deadline time.Time
	Repeat   chestnutroad.Repeat
}

// Outcome is the first answer to an order.
type Outcome = record.Outcome

// BatchID names one append of a Machine.
type BatchID uint64

// Action is what the caller of a Machine has to do.
type Action interface{ action() }

// Append asks to append the data to the orders stream once and to report the result. The append must end, with an
// unknown result if need be, within AppendTimeout.
type Append struct {
	BatchID BatchID
	Data    []byte
}

// Run asks to send the order of the request to a target once.
type Run struct{ Request chestnutroad.RequestID }

// Reply answers the request with the order's first outcome. The request of the Run gets one too.
type Reply struct {
	Request chestnutroad.RequestID
	Outcome Outcome
}

// Refuse answers the request with a refusal.
type Refuse struct {
	Request chestnutroad.RequestID
	Refusal *chestnutroad.Refusal
}

func (Append) action() {}
func (Run) action()    {}
func (Reply) action()  {}
func (Refuse) action() {}
