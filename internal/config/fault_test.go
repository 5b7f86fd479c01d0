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

// appendOutcomes maps the outcomes of an append to the numbers that the simulation draws; larger numbers count as ok.
//   - failed: the log did not add the record, and the host learns that
//   - late, twice, lost, never: the log adds the record later, now and again later, now, or never, and the host learns nothing
//   - ok: the log adds the record, and the host learns that
var appendOutcomes = map[string]int{"failed": 0, "late": 1, "twice": 2, "lost": 3, "never": 4, "ok": 5}

// TestFaults guards against wrong results of publishes and wrong versions in force in specific faults. Two hosts have read
// version 1. The steps of a script are separated by spaces; a number before a colon is the index of the host that acts:
//   - publish, bad, rollback and again start a publish; again repeats the first one with the same id, and rollback
//     also completes the append
//   - ok, failed, late, twice, lost and never complete an append, see appendOutcomes
//   - run publishes, appends and reads; many appends maxRecent accepted records
//   - read reads the log, on all hosts unless there is an index
//   - restart replaces a host by an empty one, and import gives it the state of the other host
//   - snapshot takes a snapshot at the host, and save appends it
//   - deliver appends a delayed record, expire=N sets the log's oldest offset, and wait=D advances the clock
func TestFaults(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, script, want string }{
		{"accepted", "0:run", "Accepted v2 v2"},
		{"lost race", "0:publish 1:publish 1:ok 0:ok read", "RefusedParent Accepted v2 v2"},
		{"response of the append is lost", "0:publish 0:lost read", "Accepted v2 v2"},
		{"record is appended twice", "0:publish 0:twice deliver read", "Accepted v2 v2"},
		{"response is lost and the log can't be read", "0:publish 0:lost wait=10s", "Unknown v1 v1"},
		{"verdict after the timeout", "0:publish 0:lost wait=10s read", "Accepted v2 v2"},
		{"publish with unknown result is repeated", "0:publish 0:lost wait=10s 1:read 1:again", "Unknown Accepted v1 v2"},
		{"publish is repeated after many versions", "0:run 0:many read 1:again", "Accepted Unknown v66 v66"},
		{"append definitely fails", "0:publish 0:failed", "RefusedLog v1 v1"},
		{"invalid body", "0:bad", "RefusedBody v1 v1"},
		{"host without state", "0:restart 0:publish", "RefusedNotReady v0 v1"},
		{"verdict is covered by a snapshot", "0:publish 0:lost 1:read expire=2 1:snapshot save read", "Accepted v2 v2"},
		{
			"first verdict is missed",
			"0:publish 0:twice 1:read 1:publish 1:ok 1:read expire=3 1:snapshot save deliver read", "Accepted Accepted v3 v3",
		},
		{
			"first verdict is missed and expired",
			"0:publish 0:twice 1:many 1:read expire=66 1:snapshot save deliver read wait=10s", "Unknown v66 v66",
		},
		{"snapshot followed by a gap", "1:snapshot 0:run expire=2 save 1:restart read", "Accepted v2 v0"},
		{"host without state imports the state of its peer", "0:run 1:restart 1:import", "Accepted v2 v2"},
		{"records after the imported state expired", "0:run 1:restart 1:import expire=3 1:snapshot save read", "Accepted v2 v2"},
		{"rollback", "0:run 0:rollback read", "Accepted Accepted v3 v3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(func(int) int { return 0 }, 2)
			sim.appendRecord(record.EncodeConfig(record.Config{PublishID: "first", Version: 1, Body: []byte("one\ntwo\n")}))
			sim.runScript("read " + tt.script)
			if got := sim.results(); got != tt.want || len(sim.violations) > 0 {
				t.Errorf("got %s, want %s, %v", got, tt.want, sim.violations)
			}
			lostRace := sim.publishes[0].publisher.Result().Reason == ReasonParent
			if got := sim.publishes[0].publisher.Result().Diff; lostRace && got != "- three 1\n+ three 0\n" {
				t.Errorf("difference: got %q", got)
			}
		})
	}
}

// results returns the state and reason of each publish and the version in force at each host.
func (sim *simulation) results() string {
	words := make([]string, 0, len(sim.publishes)+len(sim.hosts))
	for _, pub := range sim.publishes {
		result := pub.publisher.Result()
		state := []string{"Pending", "Accepted", "Refused", "Unknown"}[result.State]
		words = append(words, state+string(result.Reason))
	}
	for _, host := range sim.hosts {
		words = append(words, fmt.Sprintf("v%d", host.reader.InForce().Version))
	}
	return strings.Join(words, " ")
}

// runScript performs the steps of a script, which TestFaults describes.
func (sim *simulation) runScript(script string) {
	for step := range strings.FieldsSeq(script) {
		if index, action, found := strings.Cut(step, ":"); found {
			number, _ := strconv.Atoi(index)
			sim.runHostStep(number, action)
			continue
		}
		action, value, _ := strings.Cut(step, "=")
		switch action {
		case "read":
			for range 3 * len(sim.hosts) {
				sim.hosts = append(sim.hosts[1:], sim.hosts[0])
				sim.read(sim.hosts[0], sim.batch(sim.hosts[0].reader.NextOffset(), 1000))
			}
		case "wait":
			duration, _ := time.ParseDuration(value)
			sim.advanceTime(duration)
		case "expire":
			sim.oldestOffset, _ = strconv.Atoi(value)
		case "save":
			sim.appendRecord(sim.snapshotRecord)
		case "deliver":
			sim.appendRecord(sim.delayed[0])
		}
	}
}

// runHostStep performs an action of the host with the index.
func (sim *simulation) runHostStep(index int, action string) {
	host := sim.hosts[index]
	if outcome, found := appendOutcomes[action]; found {
		sim.completeAppend(host, outcome)
		return
	}
	parent := host.reader.InForce().Version
	switch action {
	case "publish":
		sim.startPublish(host, fmt.Sprintf("publish-%d", len(sim.publishes)), parent, fmt.Sprintf("one\nthree %d\n", index))
	case "run":
		sim.runScript(fmt.Sprintf("%d:publish %d:ok read", index, index))
	case "again":
		sim.startPublish(host, "publish-0", 1, "one\nthree\n")
	case "bad":
		sim.startPublish(host, "bad", parent, "bad")
	case "many":
		for number := range maxRecent {
			sim.appendRecord(record.EncodeConfig(record.Config{
				Parent: chestnutroad.Version(number + 2), Version: chestnutroad.Version(number + 3),
			}))
		}
	case "rollback":
		first, _ := host.reader.AcceptedVersion(1)
		sim.startPublish(host, "rollback", parent, string(first.Body))
		sim.completeAppend(host, appendOutcomes["ok"])
	case "read":
		sim.read(host, sim.batch(host.reader.NextOffset(), 1000))
	case "restart":
		sim.hosts[index] = sim.newHost()
	case "snapshot":
		sim.snapshotRecord = host.reader.Snapshot(sim.now)[0]
	case "import":
		sim.transferState(sim.hosts[1-index], host)
	}
}

// TestVerdict guards against a proposal that is accepted despite a wrong parent, version or body, or refused for a wrong reason.
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

// TestDiffLines guards against a wrong list of differing lines, which operators get when another publish was accepted first.
func TestDiffLines(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x\ny\n", 1200)
	replaced := strings.ReplaceAll("a\n"+long, "\n", "\n- ")
	replaced = "- " + strings.TrimSuffix(replaced, "- ") + strings.ReplaceAll("+ "+long, "\n", "\n+ ") + "b\n"
	tests := []struct{ name, before, after, want string }{
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
			if got := DiffLines([]byte(tt.before), []byte(tt.after)); got != tt.want {
				t.Errorf("got %.200q, want %.200q", got, tt.want)
			}
		})
	}
}
