package order

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

var faultKey = Key{Team: "team", Key: "key-0"}

func firstDraw(int) int { return 0 }

// newFaultWorld returns hosts that have read the empty log.
func newFaultWorld(hosts int) *world {
	wd := newWorld(firstDraw, hosts, mechanisms{})
	wd.readAll()
	return wd
}

func (wd *world) readAll() {
	for _, host := range wd.hosts {
		wd.read(host, 1000)
	}
}

func (wd *world) later(jump time.Duration) {
	wd.pass(jump)
	for _, host := range wd.hosts {
		wd.handle(host, host.machine.Tick(wd.now))
	}
}

// kind returns the kind of the request's answer, "Reply" for an outcome and "" for none.
func (wd *world) kind(request chestnutroad.RequestID) chestnutroad.Kind {
	switch answer := wd.tries[request].answer.(type) {
	case Reply:
		return "Reply"
	case Refuse:
		return answer.Refusal.Kind
	default:
		return ""
	}
}

// The fates of an append in endAppend.
const (
	fateFailed    = 0
	fateLost      = 1
	fateLate      = 2
	fateNever     = 3
	fateDuplicate = 4
	fateOK        = 5
	fateDone      = 2
	fateUnknown   = 1
	fateNotRun    = 0
)

// TestFaults guards the answers and the number of runs in each named fault.
func TestFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		hosts int
		// play returns the requests whose answers are compared.
		play func(wd *world) []chestnutroad.RequestID
		want []chestnutroad.Kind
		runs int
	}{
		{"answer of the append is lost", 1, playLostAnswer, []chestnutroad.Kind{"Reply"}, 1},
		{"append never takes effect", 1, playNever, []chestnutroad.Kind{"LogUnavailable", "Reply"}, 1},
		{"record is appended twice", 2, playDuplicate, []chestnutroad.Kind{"Reply", "Reply"}, 1},
		{"claim comes after its release", 2, playLateClaim, []chestnutroad.Kind{"LogUnavailable", "Reply"}, 1},
		{"claimant pauses past lease and deadline", 2, playPause, []chestnutroad.Kind{"DeadlineExceeded", "Reply"}, 1},
		{"claimant pauses while the order runs", 2, playPausedRun, []chestnutroad.Kind{"OutcomeUnknown", "InProgress"}, 1},
		{"claimant dies while the order runs", 2, playDeath, []chestnutroad.Kind{"OutcomeUnknown"}, 1},
		{"two sides of a cut", 2, playCut, []chestnutroad.Kind{"LogUnavailable", "Reply", "Reply"}, 1},
		{"log is known to be down", 1, playOutage, []chestnutroad.Kind{"LogUnavailable", "LogUnavailable"}, 0},
		{"outcome waits for the log", 2, playLateOutcome, []chestnutroad.Kind{"Reply", "Reply", "Reply"}, 1},
		{"other host's records expired", 2, playExpired, []chestnutroad.Kind{"NotReady", "Reply"}, 1},
		{"late snapshot of a slow host", 2, playLateSnapshot, []chestnutroad.Kind{"NotReady", "Reply"}, 1},
		{"peer's state while the log is down", 2, playImport, []chestnutroad.Kind{"Reply", "LogUnavailable"}, 1},
		{"key is used with another body", 2, playKeyReused, []chestnutroad.Kind{"KeyReused", "KeyReused"}, 1},
		{"target refuses before it starts", 2, playNotRun, []chestnutroad.Kind{"TargetRefused", "Reply"}, 1},
		{"target deduplicates", 2, playDedup, []chestnutroad.Kind{"OutcomeUnknown", "Reply"}, 2},
		{"caller withdraws before the run", 2, playCancel, []chestnutroad.Kind{"Reply"}, 1},
		{"repeat after the repeat window", 1, playWindow, []chestnutroad.Kind{"Reply", "Reply"}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			wd := newFaultWorld(tt.hosts)
			for index, request := range tt.play(wd) {
				if got := wd.kind(request); got != tt.want[index] {
					t.Errorf("request %d: got %q, want %q", index, got, tt.want[index])
				}
			}
			if got := len(wd.runs[faultKey]); got != tt.runs {
				t.Errorf("runs: got %d, want %d", got, tt.runs)
			}
			if len(wd.breaches) > 0 || t.Failed() {
				t.Error(wd.report())
			}
		})
	}
}

// place submits the order and lets the append have the fate.
func (wd *world) place(host int, fate int) chestnutroad.RequestID {
	wd.pass(time.Second)
	request := wd.submit(wd.hosts[host], faultKey, false, 30*time.Second)
	wd.endAppend(wd.hosts[host], fate)
	return request
}

// complete places the order and lets it run to its end.
func (wd *world) complete(host int) chestnutroad.RequestID {
	request := wd.place(host, fateOK)
	wd.settle(10)
	return request
}

func playLostAnswer(wd *world) []chestnutroad.RequestID {
	request := wd.place(0, fateLost)
	wd.settle(10)
	return []chestnutroad.RequestID{request}
}

func playNever(wd *world) []chestnutroad.RequestID {
	request := wd.place(0, fateNever)
	wd.later(DefaultAppendTimeout)
	return []chestnutroad.RequestID{request, wd.complete(0)}
}

func playDuplicate(wd *world) []chestnutroad.RequestID {
	request := wd.place(0, fateDuplicate)
	wd.settle(10)
	wd.landLate()
	return []chestnutroad.RequestID{request, wd.complete(1)}
}

func playLateClaim(wd *world) []chestnutroad.RequestID {
	request := wd.place(0, fateLate)
	wd.later(DefaultAppendTimeout)
	wd.settle(5)
	wd.landLate()
	wd.readAll()
	return []chestnutroad.RequestID{request, wd.complete(1)}
}

func playPause(wd *world) []chestnutroad.RequestID {
	request := wd.place(0, fateOK)
	wd.pass(5 * time.Minute)
	wd.read(wd.hosts[0], 1000)
	wd.settle(5)
	return []chestnutroad.RequestID{request, wd.complete(1)}
}

func playPausedRun(wd *world) []chestnutroad.RequestID {
	first := wd.place(0, fateOK)
	wd.readAll()
	wd.pass(testLease * 2)
	second := wd.place(1, fateOK)
	wd.read(wd.hosts[1], 1000)
	wd.later(30 * time.Second)
	return []chestnutroad.RequestID{first, second}
}

func playDeath(wd *world) []chestnutroad.RequestID {
	wd.place(0, fateOK)
	wd.readAll()
	dead := wd.hosts[0].machine.self
	wd.replace(0, 1)
	second := wd.place(1, fateOK)
	wd.handle(wd.hosts[1], wd.hosts[1].machine.HostGone(wd.now, dead.Host, dead.Incarnation))
	return []chestnutroad.RequestID{second}
}

func playCut(wd *world) []chestnutroad.RequestID {
	wd.hosts[0].cut = true
	first := wd.place(0, fateOK)
	wd.read(wd.hosts[0], 1000)
	second := wd.complete(1)
	wd.hosts[0].cut = false
	return []chestnutroad.RequestID{first, second, wd.complete(0)}
}

func playOutage(wd *world) []chestnutroad.RequestID {
	wd.log.down = true
	first := wd.place(0, fateOK)
	wd.read(wd.hosts[0], 1000)
	second := wd.submit(wd.hosts[0], faultKey, false, 30*time.Second)
	return []chestnutroad.RequestID{first, second}
}

func playLateOutcome(wd *world) []chestnutroad.RequestID {
	first := wd.place(0, fateOK)
	wd.readAll()
	wd.log.down = true
	wd.endRun(wd.hosts[0], fateDone)
	wd.later(time.Hour / 20)
	second := wd.submit(wd.hosts[0], faultKey, false, 30*time.Second)
	wd.log.down = false
	wd.settle(200)
	return []chestnutroad.RequestID{first, second, wd.complete(1)}
}

// playExpired lets a host start when the log has lost the claim and has no snapshot.
func playExpired(wd *world) []chestnutroad.RequestID {
	wd.complete(0)
	wd.pass(testRetention * 2)
	wd.replace(1, 1)
	wd.read(wd.hosts[1], 1000)
	first := wd.submit(wd.hosts[1], faultKey, false, 30*time.Second)
	for _, data := range wd.hosts[0].machine.Snapshot(wd.now) {
		wd.appendRecord(data)
	}
	wd.settle(5)
	wd.runs[faultKey] = nil
	return []chestnutroad.RequestID{first, wd.complete(1)}
}

// playLateSnapshot lets a snapshot arrive that is older than a claim which the log has already lost.
func playLateSnapshot(wd *world) []chestnutroad.RequestID {
	late := wd.hosts[1].machine.Snapshot(wd.now)
	wd.complete(0)
	wd.pass(testWindow / 2)
	wd.readAll()
	wd.log.oldest = 1
	wd.appendRecord(late[0])
	wd.replace(1, 1)
	wd.settle(5)
	first := wd.submit(wd.hosts[1], faultKey, false, 30*time.Second)
	for _, data := range wd.hosts[0].machine.Snapshot(wd.now) {
		wd.appendRecord(data)
	}
	wd.settle(5)
	return []chestnutroad.RequestID{first, wd.complete(1)}
}

func playImport(wd *world) []chestnutroad.RequestID {
	wd.complete(0)
	wd.replace(1, 1)
	wd.log.down = true
	wd.transfer(wd.hosts[0], wd.hosts[1])
	known := wd.submit(wd.hosts[1], faultKey, false, 30*time.Second)
	wd.read(wd.hosts[1], 1000)
	other := wd.submit(wd.hosts[1], Key{Team: "team", Key: "other"}, false, 30*time.Second)
	return []chestnutroad.RequestID{known, other}
}

func playKeyReused(wd *world) []chestnutroad.RequestID {
	wd.place(0, fateOK)
	requests := []chestnutroad.RequestID{"other-0", "other-1"}
	for index, request := range requests {
		wd.tries[request] = &testTry{key: faultKey, host: wd.hosts[index]}
		wd.readAll()
		wd.handle(wd.hosts[index], wd.hosts[index].machine.Submit(wd.now, Order{
			Request: request, Team: faultKey.Team, Key: faultKey.Key, Digest: "other digest",
		}))
	}
	return requests
}

func playNotRun(wd *world) []chestnutroad.RequestID {
	first := wd.place(0, fateOK)
	wd.readAll()
	wd.endRun(wd.hosts[0], fateNotRun)
	wd.settle(5)
	return []chestnutroad.RequestID{first, wd.complete(1)}
}

func playDedup(wd *world) []chestnutroad.RequestID {
	wd.pass(time.Second)
	first := wd.submit(wd.hosts[0], faultKey, true, 30*time.Second)
	wd.endAppend(wd.hosts[0], fateOK)
	wd.readAll()
	wd.endRun(wd.hosts[0], fateUnknown)
	wd.settle(5)
	second := wd.submit(wd.hosts[1], faultKey, true, 30*time.Second)
	wd.settle(5)
	return []chestnutroad.RequestID{first, second}
}

func playCancel(wd *world) []chestnutroad.RequestID {
	first := wd.place(0, fateOK)
	wd.handle(wd.hosts[0], wd.hosts[0].machine.Cancel(wd.now, first))
	wd.settle(5)
	return []chestnutroad.RequestID{wd.complete(1)}
}

func playWindow(wd *world) []chestnutroad.RequestID {
	first := wd.complete(0)
	wd.pass(testWindow + testLimit + time.Minute)
	wd.appendRecord([]byte(`{"Type":"Orders"}`))
	wd.settle(5)
	return []chestnutroad.RequestID{first, wd.complete(0)}
}

// TestLongBody guards against a replay that passes a part of a long answer for the whole.
func TestLongBody(t *testing.T) {
	t.Parallel()
	wd := newFaultWorld(1)
	host := wd.hosts[0]
	request := wd.place(0, fateOK)
	wd.read(host, 10)
	body := []byte(strings.Repeat("x", bodyLimit+1))
	actions := host.machine.TargetDone(wd.now, request, http.StatusOK, nil, body)
	if reply, ok := actions[0].(Reply); !ok || len(reply.Outcome.Body) != len(body) || reply.Outcome.BodyOmitted {
		t.Errorf("first answer: got %.100v", actions[0])
	}
	actions = host.machine.Submit(wd.now, Order{Request: "again", Team: faultKey.Team, Key: faultKey.Key, Digest: "digest"})
	reply, ok := actions[0].(Reply)
	if !ok || !reply.Outcome.BodyOmitted || reply.Outcome.Body != nil || reply.Outcome.BodyDigest != digest(body) {
		t.Errorf("repeat: got %.100v", actions[0])
	}
}
