package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

var errTruncated = errors.New("the stream ended without [DONE]")

// maxEventBytes limits one line of a streamed answer and the body of a refusal.
const maxEventBytes = 1 << 20

// Run sends requests at the plan's rate until its duration is over or ctx is done, waits for the pending requests and returns
// the report.
func Run(ctx context.Context, plan Plan) *Report {
	plan = plan.withDefaults()
	report := newReport()
	gen := newGenerator(plan)
	interval := time.Duration(float64(time.Second) / plan.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.NewTimer(plan.Duration)
	defer end.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return report
		case <-end.C:
			group.Wait()
			return report
		case <-ticker.C:
		}
		next := gen.next()
		group.Go(func() {
			runJob(ctx, plan, next, report)
			gen.finish(next)
		})
	}
}

// runJob sends a request until it is answered, refused without a retry or sent MaxAttempts times. Each attempt goes to the
// next entry host.
func runJob(ctx context.Context, plan Plan, jb *job, report *Report) {
	report.countSent(jb)
	started := time.Now()
	for attempt := range plan.MaxAttempts {
		entry := plan.Entries[(jb.firstEntry+attempt)%len(plan.Entries)]
		retry, wait := runAttempt(ctx, plan, jb, entry, started, report)
		if !retry {
			return
		}
		report.countRetry()
		sleep(ctx, wait)
	}
	report.countGivenUp(jb)
}

// runAttempt sends the request once. It returns whether the request should be retried, and after which wait.
func runAttempt(
	ctx context.Context, plan Plan, jb *job, entry string, started time.Time, report *Report,
) (bool, time.Duration) {
	resp, err := post(ctx, plan, jb, entry)
	if err != nil {
		report.countBroken("connection")
		return true, defaultRetryWait
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return handleRefusal(resp, report)
	}
	if jb.chat {
		return readChat(plan, jb, resp.Body, started, report)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		report.countBroken("answer")
		return true, defaultRetryWait
	}
	report.recordOrder(jb, body, time.Since(started))
	return false, 0
}

func post(ctx context.Context, plan Plan, jb *job, entry string) (*http.Response, error) {
	path := jb.path
	if !jb.chat {
		path = plan.OrderPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(jb.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+plan.Token)
	req.Header.Set("Content-Type", "application/json")
	if jb.key != "" {
		req.Header.Set("Idempotency-Key", jb.key)
	}
	return plan.Client.Do(req)
}

// handleRefusal counts the refusal and returns whether its kind allows a retry, and after which wait.
func handleRefusal(resp *http.Response, report *Report) (bool, time.Duration) {
	var answer struct {
		Error struct {
			Kind         chestnutroad.Kind
			RetryAfterMs int64
		}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&answer); err != nil {
		report.countRefusal(chestnutroad.Kind("Status" + strconv.Itoa(resp.StatusCode)))
		return false, 0
	}
	report.countRefusal(answer.Error.Kind)
	wait := defaultRetryWait
	if answer.Error.RetryAfterMs > 0 {
		wait = time.Duration(answer.Error.RetryAfterMs) * time.Millisecond
	}
	return answer.Error.Kind.Answer().Retry, wait
}

// readChat reads and checks a streamed answer. It returns whether the request should be retried, and after which wait.
func readChat(plan Plan, jb *job, body io.Reader, started time.Time, report *Report) (bool, time.Duration) {
	content, err := readStream(body, started, report)
	if err != nil {
		report.countBroken("stream")
		return true, defaultRetryWait
	}
	if plan.CheckChat != nil {
		if err := plan.CheckChat(jb.body, content); err != nil {
			report.countWrong(err)
			return false, 0
		}
	}
	jb.answer = content
	report.recordChat(time.Since(started))
	return false, 0
}

// readStream returns the text of a streamed answer and records the times of its tokens.
func readStream(body io.Reader, started time.Time, report *Report) (string, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	var content bytes.Buffer
	last := time.Time{}
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		text, done, err := eventText(data)
		if done || err != nil {
			return content.String(), err
		}
		last = report.recordToken(started, last, time.Now())
		content.WriteString(text)
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", errTruncated
}

// sleep waits until the time is over or ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
