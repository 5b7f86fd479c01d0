package order

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// maxStoredBody is the longest body, in bytes, that is kept for repeats.
const maxStoredBody = 16 << 10

// maxStoredHeader is the longest header, in bytes, that is kept for repeats.
const maxStoredHeader = 4 << 10

// TargetDone takes the target's whole answer to a Run. The header holds only what a repeat needs.
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

// TargetUnknown tells that it is unknown whether the order ran.
func (mc *Machine) TargetUnknown(now time.Time, request chestnutroad.RequestID) []Action {
	mc.expire(now)
	if fl := mc.running[request]; fl != nil {
		mc.store(now, fl, Outcome{Unknown: true})
		mc.refuseEach(fl, outcomeUnknownRefusal())
		mc.drop(fl)
	}
	return mc.finish(now)
}

// TargetNotRun tells that the order certainly did not run. The requests get the refusal, or TargetRefused if it is nil.
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

// store queues the outcome for the log. It stays until it is read back, however long the log is down. After a run that
// outlasted the claim, a late copy of the claim may hold the key again, and its own expiry counts.
func (mc *Machine) store(now time.Time, fl *flight, outcome Outcome) {
	if en := mc.table.live(fl.key); en != nil && en.claimant == fl.claim {
		fl.expiresMs = en.expiresMs
	}
	wr := &write{key: fl.key, createdAt: now, expiresMs: fl.expiresMs, entry: record.Entry{
		Type: record.EntryOutcome, Team: fl.key.Team, Key: fl.key.Key, Claimant: fl.claim,
		Digest: fl.digest, Outcome: &outcome,
	}}
	mc.outcomes[fl.key] = wr
	mc.queue.addWrite(wr)
}
