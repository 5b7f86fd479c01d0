package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The streams of the cases that judge whether a stream holds events of two versions of the runners' software.
const (
	oldVersion, newVersion = "2.4.0", "2.5.0"
	streamEvents           = 42
	eventGap               = 60 * time.Millisecond
	streamBudget           = 12 * time.Second
	streamInterval         = 25 * time.Millisecond
	// allowedMixed is the number of streams with events of two versions that the rule allows.
	allowedMixed = 2
)

// try is one try of a client; lastEvent is the last event of the stream that it takes up, or empty.
type try struct {
	sent      time.Time
	lastEvent string
	out       outcome
}

// streamPlan is what a client does about its stream: it tries again after a pause. observe receives each try; it may be nil.
type streamPlan struct {
	tries   int
	pause   time.Duration
	observe func(tr *try)
}

// streamTally counts streams over all tries of their clients.
type streamTally struct {
	mu                     sync.Mutex
	total, complete, mixed int
}

func (ta *streamTally) add(versions map[string]bool, ended bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.total++
	if ended {
		ta.complete++
	}
	if len(versions) > 1 {
		ta.mixed++
	}
}

// held reports whether the rule held, and writes the counts to the record.
func (ta *streamTally) held(record *recorder) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	record.printf("%d streams, %d complete, %d with events of two versions", ta.total, ta.complete, ta.mixed)
	return ta.mixed <= allowedMixed
}

// sendStreams begins a stream each streamInterval until stop is closed, and waits for their ends.
func (st *site) sendStreams(stop <-chan struct{}, tally *streamTally, plan *streamPlan) {
	ticker := time.NewTicker(streamInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for number := 1; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() { tally.add(st.playStream(number, plan)) })
	}
}

// playStream plays a stream, which its client takes up at another host when its channel breaks. It returns the versions that its events name,
// and whether it ended.
func (st *site) playStream(stream int, plan *streamPlan) (versions map[string]bool, ended bool) {
	versions = map[string]bool{}
	id := fmt.Sprintf("9c41d07b%08x", stream)
	cl := &call{
		id: id, method: http.MethodPost, path: "/lohu930/2f", body: fmt.Sprintf("chat %d", stream), budget: streamBudget,
		prefix: fmt.Sprintf("5c1e07a2:119,%08x:580,%08x:130", stream/2, stream),
	}
	deadline := time.Now().Add(streamBudget)
	for number := range plan.tries {
		hs := st.hosts[(stream+number)%len(st.hosts)]
		st.record.printf("client sends %s to %s, last event %q", cl.id, hs.name, cl.lastEvent)
		sent := time.Now()
		out := send(hs, cl)
		if plan.observe != nil {
			plan.observe(&try{sent: sent, lastEvent: cl.lastEvent, out: out})
		}
		for _, version := range out.versions {
			versions[version] = true
		}
		if len(versions) > 1 {
			st.record.printf("stream %s holds events of two versions", id)
		}
		st.record.printf("client got %d to %s: %d events, last %q, versions %v, error %v",
			out.status, cl.id, len(out.versions), out.lastEvent, compact(out.versions), out.err)
		if out.status == http.StatusOK && out.err == nil {
			return versions, true
		}
		if out.lastEvent != "" {
			cl.lastEvent = out.lastEvent
			if cl.resumes == "" {
				cl.resumes = cl.id
			}
		}
		time.Sleep(plan.pause)
		cl.id = fmt.Sprintf("%s-%d", id, number+1)
		if cl.budget = time.Until(deadline); cl.budget <= 0 {
			break
		}
	}
	return versions, false
}

// compact returns the versions without repetitions that follow each other.
func compact(versions []string) []string {
	var short []string
	for _, version := range versions {
		if len(short) == 0 || short[len(short)-1] != version {
			short = append(short, version)
		}
	}
	return short
}
