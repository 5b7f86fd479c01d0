package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// secondMark is the mark of the events of a runner of the second software version.
const secondMark = " of v2"

// joinSecond adds a runner of the second version and waits until the hosts list it.
func (st *site) joinSecond(hosts ...*host) *standin.Runner {
	st.t.Helper()
	rn := st.versionRunner("i-second", "v2")
	rn.Mark = secondMark
	for _, ht := range hosts {
		ht.awaitLog(`"Target":"i-second"`)
	}
	return rn
}

// callStream begins a stream and returns the answer.
func (ht *host) callStream(id string) reply {
	ht.t.Helper()
	return ht.call(ht.t.Context(), standin.Call{Method: http.MethodPost, Path: standin.ChatPath + "x", ID: id, Key: "k-1", Body: "b"})
}

// TestFirstEventWaitsForLog guards against a caller who has events of a version that joined a moment ago, although the log does not state yet that
// the stream began there: hosts that start would take it for one of the version before.
func TestFirstEventWaitsForLog(t *testing.T) {
	t.Parallel()
	st, _, relay, follower := startRelayed(t, "v1")
	st.joinSecond(relay, follower)
	seen := 0
	for index := 0; seen < 4 && index < 100; index++ {
		id := fmt.Sprintf("r-%d", index)
		got := []*host{relay, follower}[index%2].callStream(id)
		if !strings.Contains(got.body, secondMark) {
			continue
		}
		seen++
		batch, err := st.log().Read(t.Context(), chestnutroad.StreamStarts, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		logged := false
		for _, record := range batch.Records {
			starts, err := resumption.DecodeStarts(record.Data)
			if err != nil {
				t.Fatal(err)
			}
			for _, start := range starts {
				logged = logged || start.Stream == resumption.NewStreamID(chestnutroad.RequestID(id))
			}
		}
		if !logged {
			t.Errorf("the log does not have the stream %s when its caller has the events", id)
		}
	}
	if seen < 4 {
		t.Fatalf("%d streams began at the second version", seen)
	}
}

// TestStreamAvoidsVersionWithoutLog guards against streams that begin at a version that joined a moment ago while that can't be written to the
// log, and against ones that fail then.
func TestStreamAvoidsVersionWithoutLog(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.Busy, standin.Silent} {
		t.Run(fmt.Sprintf("fault %d of the store", fault), func(t *testing.T) {
			t.Parallel()
			st, _, relay, follower := startRelayed(t, "v1")
			second := st.joinSecond(relay, follower)
			time.Sleep(writeTime)
			st.store.SetFault(fault)
			for index := range 16 {
				got := []*host{relay, follower}[index%2].callStream(fmt.Sprintf("r-%d", index))
				if got.status != http.StatusOK || got.err != nil || got.body != standin.Events(streamEvents) {
					t.Errorf("got status %d, error %v, body %q, want a stream of the first version", got.status, got.err, got.body)
				}
			}
			if runs := second.Runs(); len(runs) == 0 || len(runs) > 6 {
				t.Errorf("the second version ran %d of 16 streams, want the first ones only", len(runs))
			}
		})
	}
}
