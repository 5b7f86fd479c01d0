package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a client has seen of one stream, over all of its tries.
type outcome struct {
	name string
	// versions are the software versions of the runners whose events the client has.
	versions []string
	tries    int
	complete bool
	// wrong is true if an event was missing or came twice.
	wrong bool
}

// eventGap is the time without an event after which clients abandon a stream: four times the objective of 600 ms.
const eventGap = 2400 * time.Millisecond

// attempt is one client attempt.
type attempt struct {
	sentAt time.Time
	host   *host
	// resumes is true when the client takes a stream up again, goesOn when it got at least one event.
	resumes, goesOn bool
}

// streamClient asks for a stream and takes it up again at another host when it breaks off, within its time budget.
type streamClient struct {
	fleet  *fleet
	client *http.Client
	log    *record
	// events is the number of events of a complete stream.
	events int
	budget time.Duration
	tries  int
	// ended is called at the end of each client attempt; nil for none.
	ended func(at attempt)
}

func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run asks for one stream.
func (sc *streamClient) run(name string) outcome {
	result := outcome{name: name}
	ctx, cancel := context.WithTimeout(context.Background(), sc.budget)
	defer cancel()
	end := time.Now().Add(sc.budget)
	last, resumes := 0, ""
	var hs *host
	for result.tries < sc.tries && time.Until(end) > 200*time.Millisecond {
		result.tries++
		id := attemptID()
		hs = sc.fleet.pick(hs)
		before, sentAt := last, time.Now()
		wait, done := sc.try(ctx, &result, hs, id, &last, resumes, time.Until(end))
		if sc.ended != nil {
			sc.ended(attempt{sentAt: sentAt, host: hs, resumes: before > 0, goesOn: last > before})
		}
		if resumes == "" && last > before {
			resumes = id
		}
		if done {
			result.complete = true
			break
		}
		if wait > time.Until(end)/3 {
			break
		}
		time.Sleep(max(wait, 20*time.Millisecond))
	}
	sc.log.printf("stream %s: complete %t, %d of %d events, tries %d, versions %s", name, result.complete, last, sc.events, result.tries,
		strings.Join(result.versions, " "))
	return result
}

// try makes one client attempt. It returns the time that the answer asks to wait, and whether the stream is complete.
func (sc *streamClient) try(
	ctx context.Context, result *outcome, hs *host, id string, last *int, resumes string, left time.Duration,
) (wait time.Duration, done bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gap := time.AfterFunc(eventGap, cancel)
	defer gap.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/chat/x", hs.address, hs.callerPort),
		strings.NewReader("prompt "+result.name))
	if err != nil {
		return 0, false
	}
	req.Host = "wuny96.example"
	req.Header.Set("Chestnutroad-Attempt-Id", id)
	req.Header.Set("Chestnutroad-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("Chestnutroad-Model", "m")
	req.Header.Set("Chestnutroad-Token-Count", "100,200")
	req.Header.Set("Chestnutroad-Prompt-Prefix", fmt.Sprintf("%x:60,%x:40", 0xabc0+rand.IntN(8), rand.Uint32()))
	if *last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(*last))
		req.Header.Set("Resumes", resumes)
	}
	sc.log.printf("client %s sends %s to %s, after event %d, resumes %q", result.name, id, hs.name, *last, resumes)
	resp, err := sc.client.Do(req)
	if err != nil {
		sc.log.printf("client %s gets no answer to %s: %v", result.name, id, err)
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		sc.log.printf("client %s gets %d for %s, Retry-After %q", result.name, resp.StatusCode, id, resp.Header.Get("Retry-After"))
		return time.Duration(seconds * float64(time.Second)), false
	}
	reader := bufio.NewScanner(resp.Body)
	number := 0
	for reader.Scan() {
		gap.Reset(eventGap)
		line := reader.Text()
		if text, found := strings.CutPrefix(line, "id: "); found {
			number, _ = strconv.Atoi(text)
		}
		if text, found := strings.CutPrefix(line, "data: "); found {
			result.wrong = result.wrong || number != *last+1
			*last = number
			version, runner, _ := strings.Cut(text, " ")
			if count := len(result.versions); count == 0 || result.versions[count-1] != version {
				result.versions = append(result.versions, version)
				sc.log.printf("client %s gets event %d from runner %s of version %s", result.name, number, runner, version)
			}
		}
	}
	if reader.Err() != nil {
		sc.log.printf("client %s: the answer to %s ends early after event %d", result.name, id, *last)
		return 0, false
	}
	return 0, *last == sc.events
}
