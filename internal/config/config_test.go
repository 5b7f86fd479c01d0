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

// testPublish is a publish with the record that is on its way into the log.
type testPublish struct {
	publisher *Publisher
	host      *testHost
	id        record.PublishID
	data      []byte
}

type testHost struct {
	reader  *Reader
	highestVersion chestnutroad.Version
	delayedBatches    []chestnutroad.Batch
}

// simulation is a simulation of several readers, publishers and the log. The draw function returns a number below its
// argument.
type simulation struct {
	draw     func(int) int
	opts     []Option
	now      time.Time
	records  []chestnutroad.Record
	oldestOffset   int
	delayed     [][]byte
	hosts    []*testHost
	incarnations    chestnutroad.Incarnation
	snapshotRecord    []byte
	verdicts map[chestnutroad.Offset]Verdict
	// versions has the version in force after each number of records, and accepted the publish of each version.
	versions  []chestnutroad.Version
	acceptedIDs  []record.PublishID
	violations  []string
	publishes []*testPublish
}

func newSimulation(draw func(int) int, hosts int, opts ...Option) *simulation {
	wd := &simulation{
		draw: draw, now: time.Unix(1_800_000_000, 0), versions: []chestnutroad.Version{0}, acceptedIDs: []record.PublishID{""},
		verdicts: map[chestnutroad.Offset]Verdict{}, opts: append([]Option{WithRetention(testRetention)}, opts...),
	}
	for range hosts {
		wd.hosts = append(wd.hosts, wd.newHost())
	}
	return wd
}

func (wd *simulation) newHost() *testHost {
	wd.incarnations++
	self := record.Writer{Host: "host", Incarnation: wd.incarnations}
	return &testHost{reader: NewReader(self, checkBody, wd.opts...)}
}

func (wd *simulation) violationf(format string, args ...any) {
	wd.violations = append(wd.violations, fmt.Sprintf(format, args...))
}

// appendRecord appends a record and decides on it by the plain rule.
func (wd *simulation) appendRecord(data []byte) {
	offset := chestnutroad.Offset(len(wd.records))
	wd.records = append(wd.records, chestnutroad.Record{Offset: offset, Appended: wd.now, Data: data})
	version := wd.versions[offset]
	proposal, err := record.DecodeConfig(data)
	if err == nil && proposal.Type == record.TypeConfig && proposal.Parent == version && checkBody(proposal.Body) == nil {
		version++
		wd.acceptedIDs = append(wd.acceptedIDs, proposal.PublishID)
	}
	wd.versions = append(wd.versions, version)
}

func (wd *simulation) batch(from chestnutroad.Offset, limit int) chestnutroad.Batch {
	start := min(len(wd.records), max(wd.oldestOffset, int(from)))
	end := min(len(wd.records), start+limit)
	return chestnutroad.Batch{
		Oldest: chestnutroad.Offset(wd.oldestOffset), Next: chestnutroad.Offset(len(wd.records)), Records: wd.records[start:end],
	}
}

func (wd *simulation) read(host *testHost, batch chestnutroad.Batch) {
	verdicts := host.reader.ReadBatch(wd.now, batch)
	for _, verdict := range verdicts {
		known, found := wd.verdicts[verdict.Offset]
		if found && known != verdict {
			wd.violationf("verdict: %+v and %+v", known, verdict)
		}
		wd.verdicts[verdict.Offset] = verdict
	}
	for _, pub := range wd.publishes {
		if pub.host == host {
			wd.checkResult(pub, pub.publisher.ObserveVerdicts(verdicts))
		}
	}
	wd.check(host)
}

func (wd *simulation) check(host *testHost) {
	version := host.reader.InForce().Version
	if version < host.highestVersion {
		wd.violationf("reverted: version %d after %d", version, host.highestVersion)
	}
	host.highestVersion = version
	if from := int(host.reader.NextOffset()); host.reader.Ready() && host.reader.state.last.Version != wd.versions[from] {
		wd.violationf("state: version %d at offset %d instead of %d", host.reader.state.last.Version, from, wd.versions[from])
	}
}

func (wd *simulation) checkResult(pub *testPublish, result PublishResult) {
	inForce := chestnutroad.Version(0)
	for version, id := range wd.acceptedIDs {
		if id == pub.id {
			inForce = chestnutroad.Version(version)
		}
	}
	switch result.State {
	case PublishAccepted:
		if inForce == 0 || result.Version != inForce {
			wd.violationf("publish: %s is accepted as %d, the log says %d", pub.id, result.Version, inForce)
		}
	case PublishRefused:
		if inForce != 0 {
			wd.violationf("publish: %s is refused but in force as %d", pub.id, inForce)
		}
	case PublishPending, PublishUnknown:
	}
}

func (wd *simulation) startPublish(host *testHost, id string, parent chestnutroad.Version, body string) {
	pub := &testPublish{id: record.PublishID(id), host: host}
	pub.publisher, pub.data = host.reader.Publish(wd.now, pub.id, parent, []byte(body))
	wd.publishes = append(wd.publishes, pub)
	wd.checkResult(pub, pub.publisher.Result())
}

// completeAppend gives the oldest append of the host one of the fates that the platform's log allows.
func (wd *simulation) completeAppend(host *testHost, fate int) {
	for _, pub := range wd.publishes {
		if pub.data == nil || pub.host != host {
			continue
		}
		data := pub.data
		pub.data = nil
		result := record.AppendUnknown
		switch fate {
		case appendOutcomes["failed"]:
			result = record.AppendFailed
		case appendOutcomes["late"]:
			wd.delayed = append(wd.delayed, data)
		case appendOutcomes["twice"]:
			wd.appendRecord(data)
			wd.delayed = append(wd.delayed, data)
		case appendOutcomes["lost"]:
			wd.appendRecord(data)
		case appendOutcomes["never"]:
		default:
			wd.appendRecord(data)
			result = record.AppendOK
		}
		wd.checkResult(pub, pub.publisher.ObserveAppend(result))
		return
	}
}

func (wd *simulation) step() {
	index := wd.draw(len(wd.hosts))
	host := wd.hosts[index]
	switch wd.draw(14) {
	case 0, 1:
		body := []string{"one\ntwo\n", "one\nthree\n", "bad"}[wd.draw(3)]
		wd.startPublish(host, fmt.Sprint(len(wd.publishes)), host.reader.InForce().Version, body)
	case 2, 3:
		wd.completeAppend(host, wd.draw(8))
	case 4, 5, 6:
		wd.read(host, wd.batch(host.reader.NextOffset(), 1+wd.draw(5)))
	case 7:
		host.delayedBatches = append(host.delayedBatches, wd.batch(host.reader.NextOffset(), 1+wd.draw(5)))
	case 8:
		if len(host.delayedBatches) > 0 {
			index := wd.draw(len(host.delayedBatches))
			wd.read(host, host.delayedBatches[index])
			host.delayedBatches = slices.Delete(host.delayedBatches, index, index+1)
		}
	case 9:
		wd.writeSnapshot(host)
	case 10:
		if wd.draw(4) == 0 {
			wd.hosts[index] = wd.newHost()
		}
	case 11:
		wd.transferState(host, wd.hosts[wd.draw(len(wd.hosts))])
	case 12:
		wd.advanceTime([]time.Duration{time.Second, 12 * time.Second, 12 * time.Minute}[min(wd.draw(3), wd.draw(3))])
	default:
		if len(wd.delayed) > 0 {
			index := wd.draw(len(wd.delayed))
			wd.appendRecord(wd.delayed[index])
			wd.delayed = slices.Delete(wd.delayed, index, index+1)
		}
	}
}

func (wd *simulation) transferState(from, to *testHost) {
	if state, found := from.reader.Export(); found {
		to.reader.Import(state)
		wd.check(to)
	}
}

func (wd *simulation) advanceTime(jump time.Duration) {
	wd.now = wd.now.Add(jump)
	for wd.oldestOffset < len(wd.records) && wd.now.Sub(wd.records[wd.oldestOffset].Appended) > testRetention {
		wd.oldestOffset++
	}
	for _, pub := range wd.publishes {
		wd.checkResult(pub, pub.publisher.Tick(wd.now))
	}
}

func (wd *simulation) writeSnapshot(host *testHost) {
	for _, data := range host.reader.Snapshot(wd.now) {
		if wd.draw(2) == 0 {
			wd.delayed = append(wd.delayed, data)
		} else {
			wd.appendRecord(data)
		}
	}
}

func simulate(draw func(int) int, steps int, opts ...Option) []string {
	wd := newSimulation(draw, 2+draw(4), opts...)
	for range steps {
		wd.step()
		if len(wd.violations) > 0 {
			break
		}
	}
	return wd.violations
}

// TestSimulation guards the agreement of all readers, versions that never go down, and the answers to publishers.
func TestSimulation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "draw") }
		if breaches := simulate(draw, 200); len(breaches) > 0 {
			rt.Fatal(strings.Join(breaches, "\n"))
		}
	})
}

// TestSimulationSeeds runs long simulations.
func TestSimulationSeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if breaches := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, 1000); len(breaches) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(breaches, "\n"))
		}
	}
}

// TestBaselines shows that the simulation notices when a mechanism is missing.
func TestBaselines(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		off    Option
		breach string
	}{
		{"snapshot with a gap behind it", func(st *options) { st.disabled.noGaps = true }, "state"},
		{"version of the latest base", func(st *options) { st.disabled.monotonicVersion = true }, "reverted"},
		{"any parent", func(st *options) { st.disabled.parentMatch = true }, "publish"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				for _, breach := range simulate(rand.New(rand.NewPCG(seed, 1)).IntN, 600, tt.off) {
					if strings.HasPrefix(breach, tt.breach) {
						t.Logf("seed %d: %.200s", seed, breach)
						return
					}
				}
			}
			t.Fatalf("no breach %q found", tt.breach)
		})
	}
}
