package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

// drawEvidence returns evidence about a few parts, with as many crashes of a part as are kept. The time of a crash follows from
// its id, as all hosts see it at the same moment.
func drawEvidence(rt *rapid.T) []chestnutroad.CrashEvidence {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) chestnutroad.CrashEvidence {
		item := chestnutroad.CrashEvidence{
			Subject: chestnutroad.SubjectHash(rapid.IntRange(1, 4).Draw(rt, "part")),
			Crash:   chestnutroad.CrashID(rapid.IntRange(0, maxCrashes).Draw(rt, "crash")),
			Age:     time.Duration(rapid.IntRange(0, 200).Draw(rt, "age")) * time.Second,
		}
		if item.Crash > 0 {
			item.Age = time.Duration(item.Crash*37%200) * time.Second
		}
		return item
	}), 0, 60).Draw(rt, "evidence")
}

// evidence returns a text of the evidence that a tracker holds.
func (tr *Tracker) evidence() string {
	lines := make([]string, 0, len(tr.subjects))
	for hash, sb := range tr.subjects {
		lines = append(lines, fmt.Sprintln(hash, sb.servedAt, sb.crashes))
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}

// TestMergeOrder guards against hosts that come to different decisions because messages arrive in another order or twice.
func TestMergeOrder(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		items := drawEvidence(rt)
		shuffled := append(rapid.Permutation(items).Draw(rt, "order"), rapid.Permutation(items).Draw(rt, "repetition")...)
		one, other := New(), New()
		one.Merge(now, items)
		for _, item := range shuffled {
			other.Merge(now, []chestnutroad.CrashEvidence{item})
		}
		if one.evidence() != other.evidence() {
			rt.Fatalf("got %s\nand %s", one.evidence(), other.evidence())
		}
	})
}

// TestBounds guards against messages of other hosts and requests with many parts that fill the memory or a datagram.
func TestBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		tr, now := New(), time.Unix(1_000_000, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		for range rapid.IntRange(1, 2).Draw(rt, "rounds") {
			parts := make([]chestnutroad.PromptPart, 0, maxSubjects+100)
			items := make([]chestnutroad.CrashEvidence, 0, maxSubjects+100)
			for index := range 2 * maxSubjects {
				number := 1 + rng.IntN(3*maxSubjects)
				parts = append(parts, chestnutroad.PromptPart{ID: fmt.Sprint(number)})
				items = append(items, chestnutroad.CrashEvidence{
					Subject: chestnutroad.SubjectHash(number), Crash: chestnutroad.CrashID(index), Age: time.Duration(number-5) * time.Second,
				})
			}
			tr.Served(now, &Request{Parts: parts})
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(rt, "wait")) * time.Second)
			tr.Crashed(now, &Request{Parts: parts}, &chestnutroad.TargetEntry{ID: "i-1", Incarnation: chestnutroad.Incarnation(now.Unix())})
			tr.Merge(now, items)
			sent := tr.Take(now)
			if len(tr.subjects) > maxSubjects || len(sent) > maxMessageItems || len(tr.served.recent) > maxServed {
				rt.Fatalf("%d parts tracked, %d items sent, %d parts remembered", len(tr.subjects), len(sent), len(tr.served.recent))
			}
			for _, sb := range tr.subjects {
				if len(sb.crashes) > maxCrashes || len(sb.unsent) > maxCrashes || len(sb.targets) > maxCrashes {
					rt.Fatalf("%d crashes, %d unsent, %d targets of one part", len(sb.crashes), len(sb.unsent), len(sb.targets))
				}
			}
		}
		now = now.Add(2*maxRefusal + provenWindow + time.Second)
		tr.Take(now)
		if len(tr.subjects) > 0 {
			rt.Fatalf("%d parts are still tracked", len(tr.subjects))
		}
	})
}

// TestLearning guards against a host that starts or returns from a network partition and does not learn of a suspect, and
// against hosts that all repeat what another one has just sent.
func TestLearning(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	parts := &Request{Parts: []chestnutroad.PromptPart{{ID: "a"}, {ID: "own"}}}
	first, second, late := New(), New(), New()
	for index := range 5 {
		first.Crashed(now, parts, &chestnutroad.TargetEntry{ID: chestnutroad.TargetID(fmt.Sprint("i-", index)), Incarnation: 1})
		second.Merge(now, first.Take(now))
		now = now.Add(time.Second)
	}
	if repeated := second.Take(now); len(repeated) != 5 {
		t.Errorf("repeated %+v after a second of silence, want five crashes", repeated)
	}
	now = now.Add(repeatInterval / 2)
	late.Merge(now, first.Take(now))
	if got := late.Check(now, parts, "r-1"); !got.Refuse || got.Crashes != 5 {
		t.Errorf("the late host decides %+v", got)
	}
	if repeated := late.Take(now); len(repeated) != 0 {
		t.Errorf("the late host repeats %+v at once", repeated)
	}
	second.Served(now, parts)
	statement := second.Take(now)
	if len(statement) != 1 || statement[0].Crash != 0 {
		t.Fatalf("a served suspect is stated as %+v", statement)
	}
	late.Merge(now, statement)
	if got := late.Check(now, parts, "r-1"); got.Refuse {
		t.Errorf("a served part is refused: %+v", got)
	}
}
