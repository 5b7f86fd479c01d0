package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// newFaultWorld returns hosts that have read a first version.
func newFaultWorld() *world {
	wd := newWorld(func(int) int { return 0 }, 2)
	wd.add(record.EncodeConfig(record.Config{PublishID: "first", Version: 1, Body: []byte("one\ntwo\n")}))
	wd.readAll()
	return wd
}

func (wd *world) readAll() {
	for _, host := range wd.hosts {
		for range 3 {
			wd.read(host, wd.batch(host.reader.From(), 1000))
		}
	}
}

func (wd *world) propose(host int, id record.PublishID, body string) *testPublish {
	reader := wd.hosts[host].reader
	publisher, data := reader.Publish(wd.now, id, reader.InForce().Version, []byte(body))
	pub := &testPublish{publisher: publisher, id: id, data: data}
	wd.hosts[host].publish = append(wd.hosts[host].publish, pub)
	return pub
}

// TestPublishFaults guards the answer to the operator in each named fault.
func TestPublishFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		play   func(wd *world) *testPublish
		state  PublishState
		reason Reason
	}{
		{"accepted", playAccepted, PublishAccepted, ReasonNone},
		{"lost race", playLostRace, PublishRefused, ReasonParent},
		{"answer of the append is lost", playLostAnswer, PublishAccepted, ReasonNone},
		{"record is appended twice", playTwice, PublishAccepted, ReasonNone},
		{"answer is lost and the log can't be read", playUnknown, PublishUnknown, ReasonNone},
		{"verdict after the timeout", playLateVerdict, PublishAccepted, ReasonNone},
		{"unknown result is asked for again", playAskAgain, PublishAccepted, ReasonNone},
		{"result is asked for after the version expired", playAskMuchLater, PublishUnknown, ReasonNone},
		{"append fails for certain", playFailed, PublishRefused, ReasonLog},
		{"invalid body", playInvalid, PublishRefused, ReasonBody},
		{"empty host", playNotReady, PublishRefused, ReasonNotReady},
		{"verdict is covered by a snapshot", playSnapshot, PublishAccepted, ReasonNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			wd := newFaultWorld()
			result := tt.play(wd).publisher.Result()
			if result.State != tt.state || result.Reason != tt.reason {
				t.Errorf("got %+v, want state %d, reason %q", result, tt.state, tt.reason)
			}
			if len(wd.breaches) > 0 {
				t.Error(strings.Join(wd.breaches, "\n"))
			}
		})
	}
}

func playAccepted(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.endAppend(wd.hosts[0], 5)
	wd.readAll()
	return pub
}

func playLostRace(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.propose(1, "other", "one\nfour\n")
	wd.endAppend(wd.hosts[1], 5)
	wd.endAppend(wd.hosts[0], 5)
	wd.readAll()
	if got, want := pub.publisher.Result().Difference, "- four\n+ three\n"; got != want {
		wd.breachf("difference: got %q, want %q", got, want)
	}
	return pub
}

func playLostAnswer(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.endAppend(wd.hosts[0], 3)
	wd.readAll()
	return pub
}

func playTwice(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.endAppend(wd.hosts[0], 2)
	wd.add(wd.late[0])
	wd.readAll()
	return pub
}

func playUnknown(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.endAppend(wd.hosts[0], 3)
	wd.pass(DefaultPublishTimeout)
	pub.publisher.Tick(wd.now)
	return pub
}

func playLateVerdict(wd *world) *testPublish {
	pub := playUnknown(wd)
	wd.readAll()
	return pub
}

func playAskAgain(wd *world) *testPublish {
	playUnknown(wd)
	wd.readAll()
	reader := wd.hosts[1].reader
	publisher, data := reader.Publish(wd.now, "mine", 1, []byte("one\nthree\n"))
	if data != nil {
		wd.breachf("append: an accepted publish is appended again")
	}
	return &testPublish{publisher: publisher}
}

func playAskMuchLater(wd *world) *testPublish {
	playAccepted(wd)
	for number := range recentCount {
		wd.propose(0, record.PublishID(fmt.Sprint(number)), fmt.Sprint(number))
		wd.endAppend(wd.hosts[0], 5)
		wd.readAll()
	}
	publisher, _ := wd.hosts[1].reader.Publish(wd.now, "mine", 1, []byte("one\nthree\n"))
	return &testPublish{publisher: publisher}
}

func playFailed(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.endAppend(wd.hosts[0], 0)
	return pub
}

func playInvalid(wd *world) *testPublish { return wd.propose(0, "mine", "bad") }

func playNotReady(wd *world) *testPublish {
	wd.hosts[0] = wd.newHost()
	return wd.propose(0, "mine", "one\n")
}

// playSnapshot lets the record expire before its publisher reads it.
func playSnapshot(wd *world) *testPublish {
	pub := wd.propose(0, "mine", "one\nthree\n")
	wd.endAppend(wd.hosts[0], 3)
	other := wd.hosts[1]
	wd.read(other, wd.batch(other.reader.From(), 1000))
	wd.oldest = 2
	for _, data := range other.reader.Snapshot(wd.now) {
		wd.add(data)
	}
	wd.readAll()
	return pub
}

// TestLateSnapshot guards against a slow host's snapshot that takes a version back.
func TestLateSnapshot(t *testing.T) {
	t.Parallel()
	wd := newFaultWorld()
	late := wd.hosts[1].reader.Snapshot(wd.now)
	playAccepted(wd)
	wd.oldest = 2
	wd.add(late[0])
	wd.hosts[1] = wd.newHost()
	wd.readAll()
	if reader := wd.hosts[1].reader; reader.Ready() || reader.InForce().Version != 0 {
		t.Errorf("ready %v with version %d from a snapshot with a gap", reader.Ready(), reader.InForce().Version)
	}
	if got := wd.hosts[0].reader.InForce().Version; got != 2 {
		t.Errorf("version went to %d", got)
	}
}

// TestOutageStart guards the start of an empty host while the log is down, and against a step back when it is up.
func TestOutageStart(t *testing.T) {
	t.Parallel()
	wd := newFaultWorld()
	playAccepted(wd)
	state, _ := wd.hosts[0].reader.Export()
	empty := wd.newHost()
	if !empty.reader.Import(state) || empty.reader.InForce().Version != 2 {
		t.Fatalf("got version %d from the peer, want 2", empty.reader.InForce().Version)
	}
	wd.hosts[1] = empty
	wd.pass(2 * testRetention)
	wd.readAll()
	if empty.reader.InForce().Version != 2 || len(wd.breaches) > 0 {
		t.Errorf("version %d, %v", empty.reader.InForce().Version, wd.breaches)
	}
}

// TestRollback guards the way back to an older body, which is a new version.
func TestRollback(t *testing.T) {
	t.Parallel()
	wd := newFaultWorld()
	playAccepted(wd)
	first, found := wd.hosts[0].reader.Version(1)
	if !found {
		t.Fatal("version 1 is not remembered")
	}
	wd.propose(0, "back", string(first.Body))
	wd.endAppend(wd.hosts[0], 5)
	wd.readAll()
	if got := wd.hosts[1].reader.InForce(); got.Version != 3 || string(got.Body) != "one\ntwo\n" {
		t.Errorf("got version %d, body %q", got.Version, got.Body)
	}
}

// TestSnapshotDue guards the base of empty readers against expiry.
func TestSnapshotDue(t *testing.T) {
	t.Parallel()
	wd := newFaultWorld()
	reader := wd.hosts[0].reader
	if reader.SnapshotDue(wd.now.Add(testRetention/2 - time.Second)) {
		t.Error("a snapshot is due too early")
	}
	wd.pass(testRetention / 2)
	wd.readAll()
	if !reader.SnapshotDue(wd.now) {
		t.Error("no snapshot is due after half the retention time")
	}
}

// TestDifference guards the text that an operator sees after a lost race.
func TestDifference(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x\ny\n", 1200)
	tests := []struct{ name, one, other, want string }{
		{"equal", "a\nb\n", "a\nb\n", ""},
		{"empty", "", "a\n", "+ a\n"},
		{"replaced", "a\nb\nc\n", "a\nd\nc\n", "- b\n+ d\n"},
		{"moved", "a\nb\nc\n", "b\nc\na\n", "- a\n+ a\n"},
		{"inside", "a\nb\nc\nd\n", "x\nb\ny\nd\n", "- a\n+ x\n- c\n+ y\n"},
		{"too long to compare", "a\n" + long, long + "b\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := Difference([]byte(tt.one), []byte(tt.other))
			if tt.want == "" && tt.one != tt.other {
				tt.want = "- a\n" + prefixed("- ", long) + prefixed("+ ", long) + "+ b\n"
			}
			if got != tt.want {
				t.Errorf("got %.200q, want %.200q", got, tt.want)
			}
		})
	}
}

func prefixed(sign, text string) string {
	return sign + strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n"+sign) + "\n"
}

// TestVerdict guards the reasons that every reader derives from the log.
func TestVerdict(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		parent  chestnutroad.Version
		version chestnutroad.Version
		body    string
		want    Reason
	}{
		{"next", 1, 2, "x", ReasonNone},
		{"old parent", 0, 1, "x", ReasonParent},
		{"future parent", 2, 3, "x", ReasonParent},
		{"skipped version", 1, 3, "x", ReasonVersion},
		{"invalid", 1, 2, "bad", ReasonBody},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			proposal := record.Config{Parent: tt.parent, Version: tt.version, Body: []byte(tt.body)}
			if got, _ := judge(&proposal, 1, checkBody); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
