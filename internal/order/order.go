package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Order is a caller's request to run an order.
type Order struct {
	Request  chestnutroad.RequestID
	Team     chestnutroad.TeamID
	Key      chestnutroad.IdempotencyKey
	Digest   string
	Deadline time.Time
	Repeat   chestnutroad.Repeat
}

// Outcome is the first answer to an order, as it is stored in the log.
type Outcome = record.Outcome

// BatchID identifies one append of a Machine.
type BatchID uint64

// Action is an Append, Run, Reply or Refuse that the caller of a Machine has to perform.
type Action interface{ action() }

// Append appends the data to the orders stream once; the caller reports the result with AppendResult. The append must
// end within the append timeout, if necessary with an unknown result.
type Append struct {
	BatchID BatchID
	Data    []byte
}

// Run sends the order of the request to a target once.
type Run struct{ Request chestnutroad.RequestID }

// Reply answers the request with the order's first outcome. The request that was run gets a Reply too.
type Reply struct {
	Request chestnutroad.RequestID
	Outcome Outcome
}

// Refuse answers the request with the refusal.
type Refuse struct {
	Request chestnutroad.RequestID
	Refusal *chestnutroad.Refusal
}

func (Append) action() {}
func (Run) action()    {}
func (Reply) action()  {}
func (Refuse) action() {}
