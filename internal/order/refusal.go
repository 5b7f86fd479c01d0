package order

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// retryAfter is the retry delay for refused callers and for appends to a log that is down.
const retryAfter = time.Second

func keyReusedRefusal() *chestnutroad.Refusal {
	return chestnutroad.Refuse(chestnutroad.KeyReused, "the key was used for an order with another body")
}

func keyTooLongRefusal() *chestnutroad.Refusal {
	return chestnutroad.Refuse(chestnutroad.BadRequest, fmt.Sprintf("the Idempotency-Key is over %d bytes", maxKeySize))
}

func notReadyRefusal() *chestnutroad.Refusal {
	message := "this request was not run: the host doesn't know yet which orders have run"
	return chestnutroad.Refuse(chestnutroad.NotReady, message).WithRetryAfter(retryAfter)
}

func logUnavailableRefusal() *chestnutroad.Refusal {
	message := "this request was not run: the platform's log did not confirm the order; repeat it with the same key"
	return chestnutroad.Refuse(chestnutroad.LogUnavailable, message).WithRetryAfter(retryAfter)
}

func deadlineRefusal(notRun bool) *chestnutroad.Refusal {
	message := "the deadline passed before the order could run"
	if !notRun {
		message = "the deadline passed; another request with the same key is still under way"
	}
	refusal := chestnutroad.Refuse(chestnutroad.DeadlineExceeded, message).WithRetryAfter(retryAfter)
	refusal.NotRun = notRun
	return refusal
}

func inProgressRefusal() *chestnutroad.Refusal {
	message := "the first request with this key is running; ask again with the same key"
	return chestnutroad.Refuse(chestnutroad.InProgress, message).WithRetryAfter(retryAfter)
}

func outcomeUnknownRefusal() *chestnutroad.Refusal {
	message := "the order may have run; ask again with the same Idempotency-Key, and check with the service if this persists"
	return chestnutroad.Refuse(chestnutroad.OutcomeUnknown, message).WithRetryAfter(retryAfter)
}

func targetRefusal() *chestnutroad.Refusal {
	message := "the target refused the order before it started"
	return chestnutroad.Refuse(chestnutroad.TargetRefused, message).WithRetryAfter(retryAfter)
}
