package order

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

var faultKey = Key{Team: "team", Key: "key-0"}

// The results of appends and runs by the words of a script.
var (
	appendResults = map[string]int{"failed": 0, "lost": 1, "late": 2, "never": 3, "twice": 4, "ok": 5}
	runResults    = map[string]int{"notrun": 0, "unknown": 1, "done": 2}
)

// TestFaults guards against wrong answers and a wrong number of runs in each named fault.
//
// A step of a script is a word, for most words after the index of a host. "order" submits an order, "short" one with a short
// deadline, "dedup" one whose target deduplicates and "other" one with another body; "place" also appends the claim, and "run"
// also runs the order to its end. The keys of appendResults and runResults end an append or a run. "jump" advances the clock,
// "tick" advances it and ticks all hosts, "deliver" applies a delayed append, "snap" takes a snapshot, "append" appends it and
// "expire" removes the records before an offset. "cut" and "heal" begin and end a host's partition from the log, "down" and
// "up" do so for all hosts, and "settle" ends the partitions and lets all hosts work for a while. "kill" replaces a host by a
// new incarnation without state, "dead" reports the replaced incarnation of the other host as dead, and "import" imports the
// other host's state.
func TestFaults(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, script, answers string }{
		{"answer of the append is lost", "0:order 0:lost settle", "Reply runs=1"},
		{"append never takes effect", "0:order 0:never tick=2s 0:run", "LogUnavailable Reply runs=1"},
		{"record is appended twice", "0:order 0:twice settle deliver 1:run", "Reply Reply runs=1"},
		{"claim follows its release in the log", "0:order 0:late tick=2s settle deliver 1:run", "LogUnavailable Reply runs=1"},
		{"delayed claim in a snapshot", "0:order 0:late tick=2s settle jump=12m deliver 1:read 1:snap expire=2 append settle 1:run", "LogUnavailable Reply runs=1"},
		{"delayed claim after its release expired", "0:order 0:late tick=2s settle jump=12m deliver settle 1:run", "LogUnavailable Reply runs=1"},
		{"release is queued while the log has no records", "0:place 0:read 0:notrun 0:never jump=12m 0:read settle 1:run", "TargetRefused Reply runs=1"},
		{"delayed claim while its release is queued", "0:order 0:late tick=2s 0:never tick=2s 0:never jump=12m deliver settle 1:run", "LogUnavailable Reply runs=1"},
		{"duplicate of the claim after a long run", "0:order 0:twice 0:read jump=12m deliver 0:read 0:done settle 1:run", "OutcomeUnknown Reply runs=1"},
		{"pause longer than lease and deadline", "0:place jump=40s 0:read settle 1:run", "DeadlineExceeded Reply runs=1"},
		{"pause longer than all limits", "0:place jump=5m 0:read settle 1:run", "DeadlineExceeded Reply runs=1"},
		{"another claim is first", "0:order 0:late 1:place 0:read 1:read tick=2s tick=31s", "InProgress OutcomeUnknown runs=1"},
		{"pause while the order runs", "0:place 0:read jump=6s 1:place 1:read tick=31s", "OutcomeUnknown InProgress runs=1"},
		{"claimant fails while the order runs", "0:place 0:read 0:kill 1:place 1:read 1:dead", "- OutcomeUnknown runs=1"},
		{"claimant is replaced", "0:place 0:read 0:kill 0:read 0:run", "- OutcomeUnknown runs=1"},
		{"both sides of a network partition", "0:cut 0:place 0:read 1:run 0:heal 0:run", "LogUnavailable Reply Reply runs=1"},
		{"deadline while another claim is first", "0:short 0:late 1:place 0:read jump=1s 0:read", "InProgress Wait runs=0"},
		{"log is marked as down", "down 0:place 0:read 0:order", "LogUnavailable LogUnavailable runs=0"},
		{"consecutive appends fail", "0:order 0:failed tick=1s 0:failed 0:order", "LogUnavailable LogUnavailable runs=0"},
		{"outcome is queued while the log is down", "0:place 0:read down 0:done tick=3m 0:order up settle 1:run", "Reply Reply Reply runs=1"},
		{"records expired", "0:run jump=1h 1:kill 1:read 1:order 0:snap append 1:read 1:read 1:run", "Reply NotReady Reply runs=2"},
		{"outdated snapshot of a slow host", "1:snap 0:run expire=1 append 1:kill settle 1:order 0:snap append settle 1:run", "Reply NotReady Reply runs=1"},
		{"import of a peer's state while the log is down", "0:run 1:kill down 1:import 1:order 1:read 1:dedup", "Reply Reply Reply runs=1"},
		{"key with another body at the same host", "0:place 0:other", "Wait KeyReused runs=0"},
		{"key with another body at another host", "0:place 1:read 1:other", "Wait KeyReused runs=0"},
		{"target refuses before it starts", "0:place 0:read 0:notrun settle 1:run", "TargetRefused Reply runs=1"},
		{"target deduplicates", "0:dedup 0:ok 0:read 0:unknown settle 1:dedup settle", "OutcomeUnknown Reply runs=2"},
		{"second attempt can't prove that the order did not run", "0:dedup 0:ok 0:read 0:unknown settle 1:dedup 1:notrun", "OutcomeUnknown OutcomeUnknown runs=1"},
		{"caller cancels before the run", "0:place 0:cancel settle 1:run", "- Reply runs=1"},
		{"repeat after the repeat window", "0:run jump=12m 0:snap append settle 0:run", "Reply Reply runs=2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(func(int) int { return 0 }, 2, safeguards{})
			cl.play("0:read 1:read " + tt.script)
			got := strings.Join(append(cl.answerKinds(), "runs="+strconv.Itoa(len(cl.runs[faultKey]))), " ")
			if got != tt.answers || len(cl.violations) > 0 {
				t.Errorf("got %s, want %s\n%s", got, tt.answers, cl.report())
			}
		})
	}
}

// TestFaultsWithoutSafeguard shows which invariant a named fault violates without the safeguard against it.
func TestFaultsWithoutSafeguard(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name            string
		disabled        safeguards
		script, answers string
	}{
		{"run before the claim is read back", safeguards{readBack: true}, "0:order 1:order", "Wait Wait runs=2"},
		{"lease instead of claim", safeguards{lease: testLease}, "0:place 0:read jump=6s 1:place 1:read", "Wait Wait runs=2"},
		{"no check for gaps", safeguards{gapCheck: true}, "1:snap 0:run expire=1 append 1:kill settle 1:run", "Reply Reply runs=2"},
		{"no release", safeguards{release: true}, "0:order 0:lost tick=2s settle 1:run", "LogUnavailable Wait runs=0"},
		{"run of refused orders", safeguards{abandon: true}, "0:order 0:lost tick=2s 0:read", "LogUnavailable runs=1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(func(int) int { return 0 }, 2, tt.disabled)
			cl.play("0:read 1:read " + tt.script)
			got := strings.Join(append(cl.answerKinds(), "runs="+strconv.Itoa(len(cl.runs[faultKey]))), " ")
			if got != tt.answers || len(cl.violations) == 0 && tt.name != "no release" {
				t.Errorf("got %s, want %s\n%s", got, tt.answers, cl.report())
			}
		})
	}
}

// answerKinds returns the kind of each request's answer: "-" for a cancelled request or a replaced host, "Wait" for none.
func (cl *cluster) answerKinds() []string {
	kinds := make([]string, 0, len(cl.requests))
	for number := range cl.requests {
		switch answer := cl.requests[number].answer.(type) {
		case Reply:
			kinds = append(kinds, "Reply")
		case Refuse:
			kinds = append(kinds, string(answer.Refusal.Kind))
		default:
			kinds = append(kinds, "Wait")
		}
	}
	return kinds
}

func (cl *cluster) play(script string) {
	for step := range strings.FieldsSeq(script) {
		if index, word, found := strings.Cut(step, ":"); found {
			number, _ := strconv.Atoi(index)
			cl.playHost(number, word)
			continue
		}
		word, value, _ := strings.Cut(step, "=")
		cl.playCluster(word, value)
	}
}

func (cl *cluster) playCluster(word, value string) {
	jump, _ := time.ParseDuration(value)
	switch word {
	case "down", "up":
		cl.log.down = word == "down"
	case "jump", "tick":
		cl.advance(jump)
		for _, host := range cl.hosts {
			if word == "tick" {
				cl.handle(host, host.machine.Tick(cl.now))
			}
		}
	case "settle":
		cl.settle(100)
	case "deliver":
		cl.applyDelayed()
	case "append":
		cl.appendRecord(cl.savedSnapshot)
	case "expire":
		cl.log.oldest, _ = strconv.Atoi(value)
	default:
		cl.violationf("unknown step %q", word)
	}
}

func (cl *cluster) playHost(index int, word string) {
	host := cl.hosts[index]
	if code, found := appendResults[word]; found {
		cl.endAppend(host, code)
		return
	}
	if code, found := runResults[word]; found {
		cl.endRun(host, code)
		return
	}
	order := Order{Key: faultKey.Key, Digest: "digest", Deadline: cl.now.Add(31 * time.Second)}
	switch word {
	case "order", "short", "place", "run", "dedup", "other":
		cl.advance(DefaultAppendInterval)
		if word == "dedup" {
			order.Repeat = chestnutroad.RepeatTargetDeduplicates
		}
		if word == "short" {
			order.Deadline = cl.now.Add(time.Second)
		}
		if word == "other" {
			order.Digest = "other digest"
		}
		cl.submit(host, order)
		if word == "place" || word == "run" {
			cl.endAppend(host, appendResults["ok"])
		}
		if word == "run" {
			cl.settle(10)
		}
	case "read":
		cl.read(host, 1000)
	case "cut", "heal":
		host.partitioned = word == "cut"
	case "kill":
		cl.replace(index, 1)
	case "dead":
		replaced := cl.hosts[1-index].machine.self
		cl.handle(host, host.machine.HostDead(cl.now, replaced.Host, replaced.Incarnation-1))
	case "cancel":
		cl.cancelFirst(host)
	case "snap":
		cl.savedSnapshot = host.machine.Snapshot(cl.now)[0]
	case "import":
		cl.transfer(cl.hosts[1-index], host)
	default:
		cl.violationf("unknown step %q", word)
	}
}

// TestLongBody guards against a repeat that returns a part of a long body as if it were complete.
func TestLongBody(t *testing.T) {
	t.Parallel()
	cl := newCluster(func(int) int { return 0 }, 1, safeguards{})
	cl.play("0:read 0:place 0:read")
	machine := cl.hosts[0].machine
	body := []byte(strings.Repeat("x", maxStoredBody+1))
	actions := machine.TargetDone(cl.now, cl.hosts[0].running[0], 200, nil, body)
	if reply, ok := actions[0].(Reply); !ok || len(reply.Outcome.Body) != len(body) || reply.Outcome.BodyOmitted {
		t.Errorf("first answer: got %.100v, want the whole body", actions[0])
	}
	actions = machine.Submit(cl.now, Order{Request: "again", Team: faultKey.Team, Key: faultKey.Key, Digest: "digest"})
	reply, ok := actions[0].(Reply)
	if !ok || !reply.Outcome.BodyOmitted || reply.Outcome.Body != nil || reply.Outcome.BodyDigest != digest(body) {
		t.Errorf("repeat: got %.100v, want no body and its digest", actions[0])
	}
}
