package config

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

var appendOutcomes = map[string]int{"failed": 0, "late": 1, "twice": 2, "lost": 3, "never": 4, "ok": 5}

// TestFaults guards the answers to publishers and the versions in force in each named fault. Two hosts have read version
// 1. A script's step is a word, in most cases after the index of a host; "run" publishes, appends and reads.
func TestFaults(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, script, want string }{
		{"accepted", "0:run", "Accepted v2 v2"},
		{"lost race", "0:publish 1:publish 1:ok 0:ok read", "RefusedParent Accepted v2 v2"},
		{"answer of the append is lost", "0:publish 0:lost read", "Accepted v2 v2"},
		{"record is appended twice", "0:publish 0:twice land read", "Accepted v2 v2"},
		{"answer is lost and the log can't be read", "0:publish 0:lost pass=10s", "Unknown v1 v1"},
		{"verdict after the timeout", "0:publish 0:lost pass=10s read", "Accepted v2 v2"},
		{"unknown result is asked for again", "0:publish 0:lost pass=10s 1:read 1:again", "Unknown Accepted v1 v2"},
		{"asked again after many versions", "0:run 0:many read 1:again", "Accepted Unknown v66 v66"},
		{"append fails for certain", "0:publish 0:failed", "RefusedLog v1 v1"},
		{"invalid body", "0:bad", "RefusedBody v1 v1"},
		{"empty host", "0:kill 0:publish", "RefusedNotReady v0 v1"},
		{"verdict is covered by a snapshot", "0:publish 0:lost 1:read drop=2 1:snap put read", "Accepted v2 v2"},
		{"first verdict is missed", "0:publish 0:twice 1:read 1:publish 1:ok 1:read drop=3 1:snap put land read", "Accepted Accepted v3 v3"},
		{"first verdict is missed and expired", "0:publish 0:twice 1:many 1:read drop=66 1:snap put land read pass=10s", "Unknown v66 v66"},
		{"late snapshot of a slow host", "1:snap 0:run drop=2 put 1:kill read", "Accepted v2 v0"},
		{"empty host takes the peer's version", "0:run 1:kill 1:import", "Accepted v2 v2"},
		{"records after the peer's version expired", "0:run 1:kill 1:import drop=3 1:snap put read", "Accepted v2 v2"},
		{"rollback", "0:run 0:rollback read", "Accepted Accepted v3 v3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			wd := newSimulation(func(int) int { return 0 }, 2)
			wd.appendRecord(record.EncodeConfig(record.Config{PublishID: "first", Version: 1, Body: []byte("one\ntwo\n")}))
			wd.runScript("read " + tt.script)
			if got := wd.results(); got != tt.want || len(wd.violations) > 0 {
				t.Errorf("got %s, want %s, %v", got, tt.want, wd.violations)
			}
			lost := wd.publishes[0].publisher.Result().Reason == ReasonParent
			if got := wd.publishes[0].publisher.Result().Diff; lost && got != "- three 1\n+ three 0\n" {
				t.Errorf("difference: got %q", got)
			}
		})
	}
}

// results returns the state of each publish and the version in force at each host.
func (wd *simulation) results() string {
	words := make([]string, 0, len(wd.publishes)+len(wd.hosts))
	for _, pub := range wd.publishes {
		result := pub.publisher.Result()
		state := []string{"Pending", "Accepted", "Refused", "Unknown"}[result.State]
		words = append(words, state+string(result.Reason))
	}
	for _, host := range wd.hosts {
		words = append(words, fmt.Sprintf("v%d", host.reader.InForce().Version))
	}
	return strings.Join(words, " ")
}

func (wd *simulation) runScript(script string) {
	for step := range strings.FieldsSeq(script) {
		if index, word, found := strings.Cut(step, ":"); found {
			number, _ := strconv.Atoi(index)
			wd.runHostStep(number, word)
			continue
		}
		word, value, _ := strings.Cut(step, "=")
		switch word {
		case "read":
			for range 3 * len(wd.hosts) {
				wd.hosts = append(wd.hosts[1:], wd.hosts[0])
				wd.read(wd.hosts[0], wd.batch(wd.hosts[0].reader.NextOffset(), 1000))
			}
		case "pass":
			jump, _ := time.ParseDuration(value)
			wd.advanceTime(jump)
		case "drop":
			wd.oldestOffset, _ = strconv.Atoi(value)
		case "put":
			wd.appendRecord(wd.snapshotRecord)
		case "land":
			wd.appendRecord(wd.delayed[0])
		}
	}
}

func (wd *simulation) runHostStep(index int, word string) {
	host := wd.hosts[index]
	if fate, found := appendOutcomes[word]; found {
		wd.completeAppend(host, fate)
		return
	}
	parent := host.reader.InForce().Version
	switch word {
	case "publish":
		wd.startPublish(host, fmt.Sprintf("publish-%d", len(wd.publishes)), parent, fmt.Sprintf("one\nthree %d\n", index))
	case "run":
		wd.runScript(fmt.Sprintf("%d:publish %d:ok read", index, index))
	case "again":
		wd.startPublish(host, "publish-0", 1, "one\nthree\n")
	case "bad":
		wd.startPublish(host, "bad", parent, "bad")
	case "many":
		for number := range maxRecent {
			wd.appendRecord(record.EncodeConfig(record.Config{Parent: chestnutroad.Version(number + 2), Version: chestnutroad.Version(number + 3)}))
		}
	case "rollback":
		first, _ := host.reader.AcceptedVersion(1)
		wd.startPublish(host, "rollback", parent, string(first.Body))
		wd.completeAppend(host, appendOutcomes["ok"])
	case "read":
		wd.read(host, wd.batch(host.reader.NextOffset(), 1000))
	case "kill":
		wd.hosts[index] = wd.newHost()
	case "snap":
		wd.snapshotRecord = host.reader.Snapshot(wd.now)[0]
	case "import":
		wd.transferState(wd.hosts[1-index], host)
	}
}

// TestVerdict guards the reasons that every reader derives from the log.
func TestVerdict(t *testing.T) {
	t.Parallel()
	tests := []struct {
		parent, version chestnutroad.Version
		body            string
		want            Reason
	}{
		{1, 2, "x", ReasonNone},
		{0, 1, "x", ReasonParent},
		{2, 3, "x", ReasonParent},
		{1, 3, "x", ReasonVersion},
		{1, 2, "bad", ReasonBody},
	}
	for _, tt := range tests {
		proposal := record.Config{Parent: tt.parent, Version: tt.version, Body: []byte(tt.body)}
		if got, _ := validate(&proposal, 1, checkBody); got != tt.want {
			t.Errorf("%+v: got %q", tt, got)
		}
	}
}

// TestDifference guards the text that an operator sees after a lost race.
func TestDifference(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x\ny\n", 1200)
	replaced := strings.ReplaceAll("a\n"+long, "\n", "\n- ")
	replaced = "- " + strings.TrimSuffix(replaced, "- ") + strings.ReplaceAll("+ "+long, "\n", "\n+ ") + "b\n"
	tests := []struct{ name, one, other, want string }{
		{"equal", "a\nb\n", "a\nb\n", ""},
		{"empty", "", "a\n", "+ a\n"},
		{"replaced", "a\nb\nc\n", "a\nd\nc\n", "- b\n+ d\n"},
		{"moved", "a\nb\nc\n", "b\nc\na\n", "- a\n+ a\n"},
		{"inside", "a\nb\nc\nd\n", "x\nb\ny\nd\n", "- a\n+ x\n- c\n+ y\n"},
		{"too long to compare", "a\n" + long, long + "b\n", replaced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if got := DiffLines([]byte(tt.one), []byte(tt.other)); got != tt.want {
				t.Errorf("got %.200q, want %.200q", got, tt.want)
			}
		})
	}
}
