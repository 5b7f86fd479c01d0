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

// maxEvent bounds one line of a streamed answer.
const maxEvent = 1 << 20

// Run sends the plan's requests at its rate, waits for the answers and returns the report.
func Run(ctx context.Context, plan Plan) *Report {
	plan = plan.withDefaults()
	report := newReport()
	sender := newSender(plan)
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
		next := sender.next()
		group.Go(func() {
			runJob(ctx, plan, next, report)
			sender.finished(next)
		})
	}
}

// runJob sends one request through one entry after the other until it has an answer.
func runJob(ctx context.Context, plan Plan, jb *job, report *Report) {
	report.sent(jb)
	started := time.Now()
	for try := range plan.MaxAttempts {
		entry := plan.Entries[(jb.first+try)%len(plan.Entries)]
		again, wait := runTry(ctx, plan, jb, entry, started, report)
		if !again {
			return
		}
		report.retried()
		pause(ctx, wait)
	}
	report.gaveUp(jb)
}

// runTry sends the request once. It returns true when another try makes sense.
func runTry(
	ctx context.Context, plan Plan, jb *job, entry string, started time.Time, report *Report,
) (bool, time.Duration) {
	resp, err := post(ctx, plan, jb, entry)
	if err != nil {
		report.broken("connection")
		return true, retryWait
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return refused(resp, report)
	}
	if jb.chat {
		return readChat(plan, jb, resp.Body, started, report)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		report.broken("answer")
		return true, retryWait
	}
	report.answeredOrder(jb, body, time.Since(started))
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

// refused counts the refusal and returns when to come back.
func refused(resp *http.Response, report *Report) (bool, time.Duration) {
	var answer struct {
		Error struct {
			Kind         chestnutroad.Kind
			RetryAfterMs int64
		}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(&answer); err != nil {
		report.refused(chestnutroad.Kind("Status" + strconv.Itoa(resp.StatusCode)))
		return false, 0
	}
	report.refused(answer.Error.Kind)
	wait := retryWait
	if answer.Error.RetryAfterMs > 0 {
		wait = time.Duration(answer.Error.RetryAfterMs) * time.Millisecond
	}
	return answer.Error.Kind.Answer().Retry, wait
}

// readChat reads a streamed answer and checks it.
func readChat(plan Plan, jb *job, body io.Reader, started time.Time, report *Report) (bool, time.Duration) {
	content, err := readStream(body, started, report)
	if err != nil {
		report.broken("stream")
		return true, retryWait
	}
	if plan.CheckChat != nil {
		if err := plan.CheckChat(jb.body, content); err != nil {
			report.wrong(err)
			return false, 0
		}
	}
	jb.answer = content
	report.answeredChat(time.Since(started))
	return false, 0
}

func readStream(body io.Reader, started time.Time, report *Report) (string, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEvent)
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
		last = report.token(started, last, time.Now())
		content.WriteString(text)
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", errTruncated
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
