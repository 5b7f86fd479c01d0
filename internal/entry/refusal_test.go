package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestDoubtfulRefusals guards against a request that may have run but is called not run or sent to a second runner, because
// its answer says so and something else, or is not certain to be its own.
func TestDoubtfulRefusals(t *testing.T) {
	t.Parallel()
	// The request's id takes the place of order in the answers.
	const order = "ORDER"
	cases := []struct {
		name, answer string
		// refused is true when the answer is a certain refusal.
		refused bool
	}{
		{"certain refusal", answerHead(refusedStatus, order, notRunHeader+emptyBody), true},
		{"certain refusal with a body that is cut", answerHead(refusedStatus, order, notRunHeader+"Content-Length: 9\r\n") + "busy", true},
		{"wrong runner", answerHead("421 Misdirected Request", order, emptyBody), true},
		{
			"copy of a refusal that is cut within its head, then the answer",
			"HTTP/1.1 503 Service Unavailable\r\nChestnutroad-Not-Executed: 1" + answerHead("200 OK", order, receiptLine+emptyBody), false,
		},
		{
			"copy of a wrong runner that is cut within its head, then the answer",
			"HTTP/1.1 421 Misdirected Request\r\nX-A: " + answerHead("200 OK", order, receiptLine+emptyBody), false,
		},
		{"served and not run", answerHead("200 OK", order, receiptLine+notRunHeader+emptyBody), false},
		{"served without a receipt and not run", answerHead("200 OK", order, notRunHeader+emptyBody), false},
		{"failed and not run", answerHead("500 Internal Server Error", order, receiptLine+notRunHeader+emptyBody), false},
		{"not run with a receipt", answerHead(refusedStatus, order, receiptLine+notRunHeader+emptyBody), false},
		{"wrong runner, by the right one", answerHead("421 Misdirected Request", order, instanceLine+"i-1\r\n"+emptyBody), false},
		{"not run, by another runner", answerHead(refusedStatus, order, instanceLine+"i-9\r\n"+notRunHeader+emptyBody), false},
		{"ids of two requests", answerHead(refusedStatus, order, "Chestnutroad-Attempt-Id: r-0\r\n"+notRunHeader+emptyBody), false},
		{"id of another request", answerHead(refusedStatus, "r-0", notRunHeader+emptyBody), false},
		{"no id", "HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + emptyBody + "\r\n", false},
		{"no statement", answerHead(refusedStatus, order, emptyBody), false},
		{"interim refusal", "HTTP/1.1 103 Early Hints\r\n" + notRunHeader + "\r\n", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 2, "k-1", "k-2")
			rr := st.rawRunner("i-1", "desk", func(_ int, req *http.Request) (string, bool) {
				return strings.ReplaceAll(tc.answer, order, req.Header.Get("Chestnutroad-Attempt-Id")), false
			})
			ht := st.start("host-1", true)
			// A second runner gets the request if it is sent again.
			st.runner("i-2", "desk")
			ht.eventually(applyTimeout, "the second runner is known", func() bool { return ht.log.line(`"Target":"i-2"`) != "" })
			for number := 0; rr.arrivals() == 0 && number < 100; number++ {
				id := fmt.Sprintf("r-%d", 100+number)
				got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
				if rr.arrivals() == 0 {
					continue
				}
				if promisesNotRun(got.status) {
					t.Errorf("got status %d, which promises that the request has not run\n%s", got.status, ht.log)
				}
				if repeated := got.err == nil && got.status == http.StatusOK; repeated != tc.refused {
					t.Errorf("got status %d, error %v, want a second run: %t\n%s", got.status, got.err, tc.refused, ht.log)
				}
			}
			if rr.arrivals() == 0 {
				t.Error("the first runner got no request")
			}
		})
	}
}

// TestRepeatedRefusalOfReusedID guards against a copy of an earlier refusal, on a kept connection, that is taken for the answer
// to a later request with the same id.
func TestRepeatedRefusalOfReusedID(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	refusal := answerHead(refusedStatus, "r-1", notRunHeader+emptyBody)
	var arrived, runs atomic.Int32
	st.rawRunner("i-1", "desk", func(number int, _ *http.Request) (string, bool) {
		if arrived.Add(1) == 1 {
			return refusal, true
		}
		runs.Add(1)
		served := answerHead("200 OK", "r-1", receiptLine+emptyBody)
		if number > 0 {
			return refusal + served, true
		}
		return served, true
	})
	ht := st.start("host-1", true)
	for index, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: "b"})
		if got.status != want {
			t.Errorf("request %d got status %d with %d runs, want %d", index+1, got.status, runs.Load(), want)
		}
	}
}

// TestRepeatedRefusal guards against a second copy of an earlier refusal, on a kept connection, that is taken for the answer to
// another request.
func TestRepeatedRefusal(t *testing.T) {
	t.Parallel()
	refusal := answerHead(refusedStatus, "r-1", notRunHeader+emptyBody)
	withBody := answerHead(refusedStatus, "r-1", notRunHeader+"Content-Length: 4\r\n") + "busy"
	cases := []struct {
		name string
		// first answers the refused request; before and after enclose the answer to the next one on the connection.
		first, before, after string
		served               bool
	}{
		{"two refusals at once", refusal + refusal, "", "", true},
		{"copy before the answer", refusal, refusal, "", true},
		{"copies before the answer", refusal, refusal + refusal, "", true},
		{"copy with a body before the answer", withBody, withBody, "", true},
		{"copy after the answer", refusal, "", refusal, true},
		{"copy that closes the connection", refusal, strings.Replace(refusal, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), "", false},
		{"interim answer and copy", refusal, "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal, "", true},
		{"cut copy before the answer", refusal, refusal[:len(refusal)-4], "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			var arrived atomic.Int32
			st.rawRunner("i-1", "desk", func(number int, req *http.Request) (string, bool) {
				if arrived.Add(1) == 1 {
					return tc.first, true
				}
				served := answerHead("200 OK", req.Header.Get("Chestnutroad-Attempt-Id"), receiptLine+emptyBody)
				if number == 0 {
					return served, true
				}
				return tc.before + served + tc.after, true
			})
			ht := st.start("host-1", true)
			for number := 1; number <= 3; number++ {
				id := fmt.Sprintf("r-%d", number)
				got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
				switch {
				case number == 1 && got.status != http.StatusServiceUnavailable:
					t.Fatalf("the refused request got status %d", got.status)
				case number > 1 && promisesNotRun(got.status), number == 2 && tc.served != (got.status == http.StatusOK):
					t.Errorf("request %s, which has run, got status %d\n%s", id, got.status, ht.log)
				}
			}
		})
	}
}
