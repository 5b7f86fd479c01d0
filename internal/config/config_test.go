package config

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

const testRetention = 30 * time.Minute

func TestMain(m *testing.M) {
	flag.Parse()
	for _, setting := range [][2]string{{"rapid.seed", "20261204"}, {"rapid.checks", "200"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func checkBody(body []byte) error {
	if strings.Contains(string(body), "bad") {
		return errors.New("line 1: bad is not a setting")
	}
	return nil
}

// testPublish is a publish with its record while the append is in progress.
type testPublish struct {
	publisher *Publisher
	host      *testHost
	id        record.PublishID
	data      []byte
}

type testHost struct {
	reader         *Reader
	highestVersion chestnutroad.Version
	delayedBatches []chestnutroad.Batch
}

// simulation simulates the log and several hosts with readers and publishers. The draw function returns a random number from 0
// up to its argument, which is excluded.
type simulation struct {
	draw           func(int) int
	opts           []Option
	now            time.Time
	records        []chestnutroad.Record
	oldestOffset   int
	delayed        [][]byte
	hosts          []*testHost
	incarnations   chestnutroad.Incarnation
	snapshotRecord []byte
	verdicts       map[chestnutroad.Offset]Verdict
	// versions holds the version in force before each offset, and acceptedIDs the publish id of each accepted version.
	versions    []chestnutroad.Version
	acceptedIDs []record.PublishID
	violations  []string
	publishes   []*testPublish
}

func newSimulation(draw func(int) int, hosts int, opts ...Option) *simulation {
	sim := &simulation{
		draw: draw, now: time.Unix(1_800_000_000, 0), versions: []chestnutroad.Version{0}, acceptedIDs: []record.PublishID{""},
		verdicts: map[chestnutroad.Offset]Verdict{}, opts: append([]Option{WithRetention(testRetention)}, opts...),
	}
	for range hosts {
		sim.hosts = append(sim.hosts, sim.newHost())
	}
	return sim
}

func (sim *simulation) newHost() *testHost {
	sim.incarnations++
	self := record.Writer{Host: "host", Incarnation: sim.incarnations}
	return &testHost{reader: NewReader(self, checkBody, sim.opts...)}
}

func (sim *simulation) violationf(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// appendRecord appends a record to the log and computes the version in force after it independently of the reader.
func (sim *simulation) appendRecord(data []byte) {
	offset := chestnutroad.Offset(len(sim.records))
	sim.records = append(sim.records, chestnutroad.Record{Offset: offset, Appended: sim.now, Data: data})
	version := sim.versions[offset]
	proposal, err := record.DecodeConfig(data)
	if err == nil && proposal.Type == record.TypeConfig && proposal.Parent == version && checkBody(proposal.Body) == nil {
		version++
		sim.acceptedIDs = append(sim.acceptedIDs, proposal.PublishID)
	}
	sim.versions = append(sim.versions, version)
}

// batch returns up to limit records from the offset, or from the oldest record if those at the offset have expired.
func (sim *simulation) batch(from chestnutroad.Offset, limit int) chestnutroad.Batch {
	start := min(len(sim.records), max(sim.oldestOffset, int(from)))
	end := min(len(sim.records), start+limit)
	return chestnutroad.Batch{
		Oldest: chestnutroad.Offset(sim.oldestOffset), Next: chestnutroad.Offset(len(sim.records)), Records: sim.records[start:end],
	}
}

// read applies a batch at the host and checks that all hosts reach the same verdicts.
func (sim *simulation) read(host *testHost, batch chestnutroad.Batch) {
	verdicts := host.reader.ReadBatch(sim.now, batch)
	for _, verdict := range verdicts {
		earlier, found := sim.verdicts[verdict.Offset]
		if found && earlier != verdict {
			sim.violationf("verdict: %+v and %+v", earlier, verdict)
		}
		sim.verdicts[verdict.Offset] = verdict
	}
	for _, pub := range sim.publishes {
		if pub.host == host {
			sim.checkResult(pub, pub.publisher.ObserveVerdicts(verdicts))
		}
	}
	sim.check(host)
}

// check checks that the version in force has not decreased and that the state is that of the log.
func (sim *simulation) check(host *testHost) {
	version := host.reader.InForce().Version
	if version < host.highestVersion {
		sim.violationf("reverted: version %d after %d", version, host.highestVersion)
	}
	host.highestVersion = version
	if from := int(host.reader.NextOffset()); host.reader.Ready() && host.reader.state.last.Version != sim.versions[from] {
		sim.violationf("state: version %d at offset %d instead of %d", host.reader.state.last.Version, from, sim.versions[from])
	}
}

// checkResult checks the result of a publish against the log.
func (sim *simulation) checkResult(pub *testPublish, result PublishResult) {
	inForce := chestnutroad.Version(0)
	for version, id := range sim.acceptedIDs {
		if id == pub.id {
			inForce = chestnutroad.Version(version)
		}
	}
	switch result.State {
	case PublishAccepted:
		if inForce == 0 || result.Version != inForce {
			sim.violationf("publish: %s is accepted as version %d, but the log has it as version %d", pub.id, result.Version, inForce)
		}
	case PublishRefused:
		if inForce != 0 {
			sim.violationf("publish: %s is refused, but the log has it accepted as version %d", pub.id, inForce)
		}
	case PublishPending, PublishUnknown:
	}
}

func (sim *simulation) startPublish(host *testHost, id string, parent chestnutroad.Version, body string) {
	pub := &testPublish{id: record.PublishID(id), host: host}
	pub.publisher, pub.data = host.reader.Publish(sim.now, pub.id, parent, []byte(body))
	sim.publishes = append(sim.publishes, pub)
	sim.checkResult(pub, pub.publisher.Result())
}

// completeAppend ends the host's oldest append in progress with one of the outcomes that the platform's log allows.
func (sim *simulation) completeAppend(host *testHost, outcome int) {
	for _, pub := range sim.publishes {
		if pub.data == nil || pub.host != host {
			continue
		}
		data := pub.data
		pub.data = nil
		result := record.AppendUnknown
		switch outcome {
		case appendOutcomes["failed"]:
			result = record.AppendFailed
		case appendOutcomes["late"]:
			sim.delayed = append(sim.delayed, data)
		case appendOutcomes["twice"]:
			sim.appendRecord(data)
			sim.delayed = append(sim.delayed, data)
		case appendOutcomes["lost"]:
			sim.appendRecord(data)
		case appendOutcomes["never"]:
		default:
			sim.appendRecord(data)
			result = record.AppendOK
		}
		sim.checkResult(pub, pub.publisher.ObserveAppend(result))
		return
	}
}

// step performs a random action of a random host or of the log.
func (sim *simulation) step() {
	index := sim.draw(len(sim.hosts))
	host := sim.hosts[index]
	switch sim.draw(14) {
	case 0, 1:
		body := []string{"one\ntwo\n", "one\nthree\n", "bad"}[sim.draw(3)]
		sim.startPublish(host, fmt.Sprint(len(sim.publishes)), host.reader.InForce().Version, body)
	case 2, 3:
		sim.completeAppend(host, sim.draw(8))
	case 4, 5, 6:
		sim.read(host, sim.batch(host.reader.NextOffset(), 1+sim.draw(5)))
	case 7:
		host.delayedBatches = append(host.delayedBatches, sim.batch(host.reader.NextOffset(), 1+sim.draw(5)))
	case 8:
		if len(host.delayedBatches) > 0 {
			index := sim.draw(len(host.delayedBatches))
			sim.read(host, host.delayedBatches[index])
			host.delayedBatches = slices.Delete(host.delayedBatches, index, index+1)
		}
	case 9:
		sim.writeSnapshot(host)
	case 10:
		if sim.draw(4) == 0 {
			sim.hosts[index] = sim.newHost()
		}
	case 11:
		sim.transferState(host, sim.hosts[sim.draw(len(sim.hosts))])
	case 12:
		sim.advanceTime([]time.Duration{time.Second, 12 * time.Second, 12 * time.Minute}[min(sim.draw(3), sim.draw(3))])
	default:
		if len(sim.delayed) > 0 {
			index := sim.draw(len(sim.delayed))
			sim.appendRecord(sim.delayed[index])
			sim.delayed = slices.Delete(sim.delayed, index, index+1)
		}
	}
}

func (sim *simulation) transferState(from, to *testHost) {
	if state, found := from.reader.Export(); found {
		to.reader.Import(state)
		sim.check(to)
	}
}

// advanceTime advances the clock, which expires records of the log and publishes.
func (sim *simulation) advanceTime(duration time.Duration) {
	sim.now = sim.now.Add(duration)
	for sim.oldestOffset < len(sim.records) && sim.now.Sub(sim.records[sim.oldestOffset].Appended) > testRetention {
		sim.oldestOffset++
	}
	for _, pub := range sim.publishes {
		sim.checkResult(pub, pub.publisher.Tick(sim.now))
	}
}

// writeSnapshot appends the records of a snapshot, some of them later.
func (sim *simulation) writeSnapshot(host *testHost) {
	for _, data := range host.reader.Snapshot(sim.now) {
		if sim.draw(2) == 0 {
			sim.delayed = append(sim.delayed, data)
		} else {
			sim.appendRecord(data)
		}
	}
}

// simulate runs random steps up to the first violation, which it returns.
func simulate(draw func(int) int, steps int, opts ...Option) []string {
	sim := newSimulation(draw, 2+draw(4), opts...)
	for range steps {
		sim.step()
		if len(sim.violations) > 0 {
			break
		}
	}
	return sim.violations
}

// TestSimulation guards against readers with different verdicts, versions in force that decrease, and results of publishes that
// contradict the log, when appends are lost, delayed or repeated, records expire and hosts restart.
func TestSimulation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "draw") }
		if violations := simulate(draw, 200); len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}

// TestSimulationSeeds is TestSimulation with fixed seeds and longer runs.
func TestSimulationSeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if violations := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, 1000); len(violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(violations, "\n"))
		}
	}
}

// TestDisabledRules guards against a simulation that no longer detects a missing rule: it disables the rules one by one and
// searches for a seed that shows the violation.
func TestDisabledRules(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		option    Option
		violation string
	}{
		{"snapshot followed by a gap", func(op *options) { op.disabled.noGaps = true }, "state"},
		{"version of an older snapshot", func(op *options) { op.disabled.monotonicVersion = true }, "reverted"},
		{"any parent", func(op *options) { op.disabled.parentMatch = true }, "publish"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				for _, violation := range simulate(rand.New(rand.NewPCG(seed, 1)).IntN, 600, tt.option) {
					if strings.HasPrefix(violation, tt.violation) {
						t.Logf("seed %d: %.200s", seed, violation)
						return
					}
				}
			}
			t.Fatalf("no violation %q detected", tt.violation)
		})
	}
}
