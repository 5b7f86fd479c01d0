package process

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestRepeatedStopSignals guards against a second signal that ends a draining router before its open chats are answered.
func TestRepeatedStopSignals(t *testing.T) {
	fl := startFleet(t, 1)
	rt := fl.routers[0]
	answer := rt.startChat(t)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		rt.signal(sig)
		time.Sleep(50 * time.Millisecond)
	}
	checkComplete(t, answer)
	<-rt.exited
	if !rt.command.ProcessState.Success() {
		t.Errorf("the router ended with %s", rt.command.ProcessState)
	}
}

// TestHangupSignals guards against a SIGHUP that ends a router with an open chat, before or in its drain.
func TestHangupSignals(t *testing.T) {
	fl := startFleet(t, 1)
	rt := fl.routers[0]
	answer := rt.startChat(t)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP} {
		rt.signal(sig)
		time.Sleep(50 * time.Millisecond)
	}
	checkComplete(t, answer)
	<-rt.exited
	if !rt.command.ProcessState.Success() {
		t.Errorf("the router ended with %s", rt.command.ProcessState)
	}
}

// startChat sends a chat whose answer lasts about 2 s, and returns the body of the answer once its head has arrived.
func (rt *router) startChat(t *testing.T) io.Reader {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+rt.caller+"/v1/chat/completions",
		strings.NewReader(`{"model":"warta-assistant","messages":[{"role":"user","content":"a"}],"max_tokens":400,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer order-desk-token")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("a chat got status %d", resp.StatusCode)
	}
	return resp.Body
}

// checkComplete requires that a chat's answer is read to its end.
func checkComplete(t *testing.T, answer io.Reader) {
	t.Helper()
	text, err := io.ReadAll(answer)
	if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		t.Errorf("the chat ended after %d bytes: %v", len(text), err)
	}
}
