package record

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

var testStart = time.Unix(1_800_000_000, 0)

// listState is the concatenation of all applied records other than parts of snapshots.
type listState struct{ list string }

func (ls *listState) Apply(rec chestnutroad.Record) {
	if TypeOf(rec.Data) != TypeOrderSnapshot {
		ls.list += string(rec.Data) + " "
	}
}

func (ls *listState) Load(payload []byte) error {
	if len(payload) > 0 && payload[0] == '!' {
		return errors.New("bad payload")
	}
	ls.list = string(payload)
	return nil
}

func (ls *listState) Payload() []byte { return []byte(ls.list) }

func (ls *listState) Reset() { ls.list = "" }

// testLog is a log in memory whose records before oldest have expired.
type testLog struct {
	records []chestnutroad.Record
	oldest  int
}

func (lg *testLog) add(records ...[]byte) {
	for _, data := range records {
		lg.records = append(lg.records, chestnutroad.Record{
			Offset: chestnutroad.Offset(len(lg.records)), Appended: testStart, Data: data,
		})
	}
}

func (lg *testLog) read(from chestnutroad.Offset) chestnutroad.Batch {
	start := min(len(lg.records), max(lg.oldest, int(from)))
	next := chestnutroad.Offset(len(lg.records))
	return chestnutroad.Batch{Oldest: chestnutroad.Offset(lg.oldest), Next: next, Records: lg.records[start:]}
}

func newTestReader() (*Reader, *listState) {
	ls := &listState{}
	return NewReader(TypeOrderSnapshot, ls), ls
}

// readAll reads the log to its end, in several batches because the reader ignores the rest of a batch after a snapshot.
func readAll(rd *Reader, lg *testLog) {
	for range 3 {
		rd.ApplyBatch(testStart, lg.read(rd.NextOffset()))
	}
}

func snapshotOf(host chestnutroad.HostID, through chestnutroad.Offset, payload string) [][]byte {
	return EncodeSnapshot(TypeOrderSnapshot, Snapshot{
		Writer: Writer{Host: host}, Through: through, Taken: testStart, Payload: []byte(payload),
	})
}

// incompressible returns a payload that doesn't compress, so that it needs three parts.
func incompressible(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	data := make([]byte, 2*partSize+100)
	for index := range data {
		data[index] = byte(random.Uint32())
	}
	return "0" + string(data)
}

// TestBase guards against an empty reader that starts from a snapshot that is incomplete, damaged or followed by a gap, and
// against one that doesn't start although the log has its first record or a usable snapshot.
func TestBase(t *testing.T) {
	t.Parallel()
	big := incompressible(1)
	parts := snapshotOf("one", 1, big)
	other := snapshotOf("two", 1, incompressible(2))
	damaged := []byte(strings.Replace(string(parts[1]), `"Piece":"`, `"Piece":"AAAA`, 1))
	tests := []struct {
		name   string
		add    [][]byte
		oldest int
		ready  bool
		want   string
	}{
		{"new log", nil, 0, true, ""},
		{"whole log", nil, 0, true, ""},
		{"truncated log without snapshot", nil, 1, false, ""},
		{"all records expired", nil, 3, false, ""},
		{"snapshot without gap", snapshotOf("one", 1, "0 1 "), 2, true, "0 1 2 "},
		{"snapshot with a gap of one record", snapshotOf("one", 0, "0 "), 2, false, ""},
		{"snapshot of a record that comes later", snapshotOf("one", 7, "0 1 2 7 "), 2, false, ""},
		{"snapshot with a gap before one without", append(snapshotOf("slow", 0, "0 "), snapshotOf("one", 2, "0 1 2 ")...), 2, true, "0 1 2 "},
		{"snapshot with a gap after one without", append(snapshotOf("one", 2, "0 1 2 "), snapshotOf("slow", 0, "0 ")...), 2, true, "0 1 2 "},
		{"payload that can't be loaded", snapshotOf("one", 1, "!"), 2, false, ""},
		{"all parts", parts, 2, true, big + "2 "},
		{"parts in another order and twice", [][]byte{parts[2], parts[0], parts[0], parts[1]}, 2, true, big + "2 "},
		{"parts of two writers mixed", [][]byte{parts[0], other[1], parts[2]}, 2, false, ""},
		{"two writers interleaved", [][]byte{parts[0], other[0], parts[1], other[1], parts[2]}, 2, true, big + "2 "},
		{"first part expired", parts, 4, false, ""},
		{"last part missing", parts[:2], 2, false, ""},
		{"too many parts", [][]byte{encodePart(SnapshotPart{Type: TypeOrderSnapshot, Through: 1, Parts: 1 << 50})}, 2, false, ""},
		{"damaged part", [][]byte{parts[0], damaged, parts[2]}, 2, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			lg := &testLog{}
			if tt.name != "new log" {
				lg.add([]byte("0"), []byte("1"), []byte("2"))
			}
			lg.add(tt.add...)
			lg.oldest = tt.oldest
			rd, ls := newTestReader()
			readAll(rd, lg)
			if rd.Ready() != tt.ready {
				t.Fatalf("ready: got %v, want %v", rd.Ready(), tt.ready)
			}
			if tt.want != "" && ls.list != tt.want {
				t.Errorf("state: got %.100q, want %.100q", ls.list, tt.want)
			}
		})
	}
}

// TestPartSize guards against parts of a snapshot that exceed the log's limit for one record.
func TestPartSize(t *testing.T) {
	t.Parallel()
	parts := snapshotOf("a-host-with-a-name-of-some-length", 1<<60, incompressible(3))
	if len(parts) != 3 {
		t.Errorf("got %d parts, want 3", len(parts))
	}
	for index, data := range parts {
		if len(data) >= MaxSize {
			t.Errorf("part %d has %d bytes, want less than %d", index, len(data), MaxSize)
		}
	}
}

// TestGap guards against a reader that continues after records that it missed. They may expire in mid-stream, or between a
// snapshot becoming the base and the reading of the records that follow it.
func TestGap(t *testing.T) {
	t.Parallel()
	lg := &testLog{}
	lg.add([]byte("0"), []byte("1"))
	rd, ls := newTestReader()
	readAll(rd, lg)
	lg.add([]byte("2"), []byte("3"))
	lg.oldest = 3
	if lost := rd.ApplyBatch(testStart, lg.read(rd.NextOffset())); !lost || rd.HasBase() {
		t.Fatalf("after a gap: state lost %v, has base %v", lost, rd.HasBase())
	}
	if rd.Import(Snapshot{Through: 1, Payload: []byte("0 1 ")}) {
		t.Error("the reader imported a peer's state although record 2 has expired")
	}
	lg.add(snapshotOf("one", 2, "0 1 2 ")...)
	rd.ApplyBatch(testStart, lg.read(rd.NextOffset()))
	if !rd.HasBase() || rd.Ready() || rd.NextOffset() != 3 {
		t.Fatalf("after a snapshot: has base %v, ready %v, next offset %d", rd.HasBase(), rd.Ready(), rd.NextOffset())
	}
	lg.oldest = 4
	readAll(rd, lg)
	if rd.HasBase() || rd.Ready() {
		t.Error("the reader has a base although record 3 expired before it was read")
	}
	lg.add(snapshotOf("one", 4, "0 1 2 3 ")...)
	readAll(rd, lg)
	if !rd.Ready() || ls.list != "0 1 2 3 " {
		t.Errorf("after the second snapshot: ready %v, state %q", rd.Ready(), ls.list)
	}
}

// TestImport guards against an imported state that is behind the reader's own, can't be loaded or is followed by a gap.
func TestImport(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		through chestnutroad.Offset
		oldest  int
		payload string
		want    string
	}{
		{"ahead", 3, 0, "0 1 2 peer ", "0 1 2 peer 4 "},
		{"same", 1, 0, "0 peer ", "0 1 2 3 4 "},
		{"behind", 0, 0, "peer ", "0 1 2 3 4 "},
		{"followed by a gap", 2, 4, "0 1 2 ", ""},
		{"bad payload", 3, 0, "!", "0 1 2 3 4 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			lg := &testLog{}
			lg.add([]byte("0"), []byte("1"))
			rd, ls := newTestReader()
			readAll(rd, lg)
			rd.Import(Snapshot{Through: tt.through, Payload: []byte(tt.payload)})
			lg.add([]byte("2"), []byte("3"), []byte("4"))
			lg.oldest = tt.oldest
			readAll(rd, lg)
			if rd.Ready() != (tt.want != "") || ls.list != tt.want {
				t.Errorf("ready %v, state %q, want %q", rd.Ready(), ls.list, tt.want)
			}
		})
	}
}

// TestSnapshotDue guards against records that expire before a snapshot covers them.
func TestSnapshotDue(t *testing.T) {
	t.Parallel()
	const retention = 8 * time.Hour
	lg := &testLog{}
	rd, _ := newTestReader()
	readAll(rd, lg)
	check := func(after time.Duration, want bool) {
		t.Helper()
		rd.ApplyBatch(testStart.Add(after), lg.read(rd.NextOffset()))
		if got := rd.SnapshotDue(testStart.Add(after), retention); got != want {
			t.Errorf("snapshot due after %v: got %v, want %v", after, got, want)
		}
	}
	check(retention, false)
	lg.add([]byte("0"))
	check(retention/2-time.Second, false)
	check(retention/2, true)
	if rd.SnapshotDue(testStart.Add(retention/2+3*time.Hour), retention) {
		t.Error("a snapshot is due at a reader that has not read for 3 h")
	}
	written := rd.WriteSnapshot(testStart.Add(retention/2), Writer{Host: "one"})
	check(retention/2+time.Second, false)
	check(retention/2+snapshotRetryDelay, true)
	lg.add(written...)
	check(retention/2+2*snapshotRetryDelay, false)
	check(retention-time.Minute, false)
	check(retention+time.Second, true)
}

// TestTypeOf guards against a type that is misread when it is taken from the start of the record without parsing the JSON.
func TestTypeOf(t *testing.T) {
	t.Parallel()
	tests := []struct {
		data string
		want Type
	}{
		{string(EncodeOrders(nil)), TypeOrders},
		{string(EncodeConfig(Config{})), TypeConfig},
		{`{"Entries":[],"Type":"Orders"}`, TypeOrders},
		{`{"Type":"Orders`, ""},
		{"no JSON", ""},
		{"", ""},
	}
	for _, tt := range tests {
		if got := TypeOf([]byte(tt.data)); got != tt.want {
			t.Errorf("%q: got %q, want %q", tt.data, got, tt.want)
		}
	}
}
