package order

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// maxStoredBody is the size in bytes of the longest body that the log stores for repeats.
const maxStoredBody = 16 << 10

// maxStoredHeader is the size in bytes of the longest header that the log stores for repeats.
const maxStoredHeader = 4 << 10

// TargetDone processes the target's complete answer to a Run. The header contains only the fields that a repeat needs.
func (mc *Machine) TargetDone(
	now time.Time, request chestnutroad.RequestID, status int, header http.Header, body []byte,
) []Action {
	mc.expire(now)
	if fl := mc.running[request]; fl != nil {
		mc.targetDone(now, fl, Outcome{Status: status, Header: header, Body: body, BodyDigest: digest(body)})
	}
	return mc.finish(now)
}

func (mc *Machine) targetDone(now time.Time, fl *flight, answer Outcome) {
	if en := mc.table.live(fl.key); en != nil && en.answered() && en.claimant == fl.claim {
		mc.replyAll(fl, *en.outcome)
		return
	}
	stored := answer
	if headerSize(stored.Header) > maxStoredHeader {
		stored.Header = nil
	}
	if len(stored.Body) > maxStoredBody {
		stored.Body = nil
		stored.BodyOmitted = true
	}
	mc.store(now, fl, stored)
	mc.replyAll(fl, answer)
}

func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// TargetUnknown processes a Run that ended without proof of whether the order ran.
func (mc *Machine) TargetUnknown(now time.Time, request chestnutroad.RequestID) []Action {
	mc.expire(now)
	if fl := mc.running[request]; fl != nil {
		mc.store(now, fl, Outcome{Unknown: true})
		mc.refuseEach(fl, outcomeUnknownRefusal())
		mc.drop(fl)
	}
	return mc.finish(now)
}

// TargetNotRun processes a Run whose order certainly did not run. The waiting requests get the refusal, or one of kind
// TargetRefused if it is nil.
func (mc *Machine) TargetNotRun(
	now time.Time, request chestnutroad.RequestID, refusal *chestnutroad.Refusal,
) []Action {
	mc.expire(now)
	if fl := mc.running[request]; fl != nil {
		mc.targetNotRun(now, fl, refusal)
	}
	return mc.finish(now)
}

func (mc *Machine) targetNotRun(now time.Time, fl *flight, refusal *chestnutroad.Refusal) {
	if fl.mayHaveRun {
		mc.refuseEach(fl, outcomeUnknownRefusal())
		mc.drop(fl)
		return
	}
	answer := targetRefusal()
	if refusal != nil {
		*answer = *refusal
		answer.NotRun = true
	}
	mc.release(now, fl.key, fl.claim)
	mc.refuseEach(fl, answer)
	mc.drop(fl)
}

// store queues the outcome for the log. The outcome stays pending until it is read back, however long the log is down.
// If the run took longer than the claim's TTL, a late copy of the claim may hold the key again; then the expiry of that
// copy applies.
func (mc *Machine) store(now time.Time, fl *flight, outcome Outcome) {
	if en := mc.table.live(fl.key); en != nil && en.claimant == fl.claim {
		fl.expiresMs = en.expiresMs
	}
	wr := &pendingWrite{key: fl.key, createdAt: now, expiresMs: fl.expiresMs, entry: record.Entry{
		Type: record.EntryOutcome, Team: fl.key.Team, Key: fl.key.Key, Claimant: fl.claim,
		Digest: fl.digest, Outcome: &outcome,
	}}
	mc.outcomes[fl.key] = wr
	mc.queue.addWrite(wr)
}
