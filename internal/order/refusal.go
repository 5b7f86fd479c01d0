package order

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// retryAfter is when a refused caller should ask again, and when a failing log is tried again.
const retryAfter = time.Second

func refuseKeyReused() *chestnutroad.Refusal {
	return chestnutroad.Refuse(chestnutroad.KeyReused, "the key was used for an order with another body")
}

func refuseKeyLength() *chestnutroad.Refusal {
	return chestnutroad.Refuse(chestnutroad.BadRequest, fmt.Sprintf("the Idempotency-Key is over %d bytes", keyLimit))
}

func refuseNotReady() *chestnutroad.Refusal {
	message := "this request was not run: the host doesn't know yet which orders have run"
	return chestnutroad.Refuse(chestnutroad.NotReady, message).WithRetryAfter(retryAfter)
}

func refuseLog() *chestnutroad.Refusal {
	message := "this request was not run: the platform's log did not confirm the order; repeat it with the same key"
	return chestnutroad.Refuse(chestnutroad.LogUnavailable, message).WithRetryAfter(retryAfter)
}

func refuseLate(notRun bool) *chestnutroad.Refusal {
	message := "the deadline passed before the order could run"
	if !notRun {
		message = "the deadline passed; another request with the same key is still under way"
	}
	refusal := chestnutroad.Refuse(chestnutroad.DeadlineExceeded, message).WithRetryAfter(retryAfter)
	refusal.NotRun = notRun
	return refusal
}

func refuseInProgress() *chestnutroad.Refusal {
	message := "the first request with this key is running; ask again with the same key"
	return chestnutroad.Refuse(chestnutroad.InProgress, message).WithRetryAfter(retryAfter)
}

func refuseUnknown() *chestnutroad.Refusal {
	message := "the order may have run; ask again with the same Idempotency-Key, and check with the service if this persists"
	return chestnutroad.Refuse(chestnutroad.OutcomeUnknown, message).WithRetryAfter(retryAfter)
}

func refuseByTarget() *chestnutroad.Refusal {
	message := "the target refused the order before it started"
	return chestnutroad.Refuse(chestnutroad.TargetRefused, message).WithRetryAfter(retryAfter)
}
