package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	hostName = "ficu95.example"
	// usualKey and otherKey are the keys of two tenants.
	usualKey = "n2ctnfzs989anu6wsjnb"
	otherKey = "q7wexk40vd31rmb8tzya"
)

// call is a request of a client.
type call struct {
	id, method, path, body string
	budget                 time.Duration
	prefix                 string
	lastEvent, resumes     string
	// key is the client's key; empty stands for usualKey.
	key string
}

// newCall returns the HTTP request of a call to a host.
func newCall(ctx context.Context, hs *host, cl *call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, cl.method, "http://"+hs.caller+cl.path, strings.NewReader(cl.body))
	if err != nil {
		return nil, err
	}
	req.Host = hostName
	req.Header.Set("Chestnutroad-Attempt-Id", cl.id)
	req.Header.Set("Chestnutroad-Deadline-Ms", fmt.Sprint(cl.budget.Milliseconds()))
	req.Header.Set("Authorization", "Token "+cmp.Or(cl.key, usualKey))
	if cl.prefix != "" {
		req.Header.Set("Chestnutroad-Prompt-Prefix", cl.prefix)
		req.Header.Set("Chestnutroad-Model", "m")
		req.Header.Set("Chestnutroad-Token-Count", "830,300")
	}
	if cl.lastEvent != "" {
		req.Header.Set("Last-Event-Id", cl.lastEvent)
		req.Header.Set("Resumes", cl.resumes)
	}
	return req, nil
}

// outcome is the answer to a call. The versions are those that the events of a stream name, in the order in which they came.
type outcome struct {
	status    int
	err       error
	lastEvent string
	versions  []string
}

// send sends a call on a new channel and reads its answer, as plain text or as events.
func send(hs *host, cl *call) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), cl.budget)
	defer cancel()
	req, err := newCall(ctx, hs, cl)
	if err != nil {
		return outcome{err: err}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	out := outcome{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		_, out.err = io.Copy(io.Discard, resp.Body)
		return out
	}
	out.err = out.readEvents(resp.Body)
	return out
}

// readEvents reads complete events until the stream ends.
func (out *outcome) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	id, version := "", ""
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if text, found := strings.CutPrefix(line, "id: "); found {
			id = text
		}
		if text, found := strings.CutPrefix(line, "data: "); found {
			version, _, _ = strings.Cut(text, " ")
		}
		if line == "" && id != "" {
			out.lastEvent = id
			out.versions = append(out.versions, version)
			id, version = "", ""
		}
	}
}
