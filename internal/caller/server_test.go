package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// fakeDirectory has one team, one model, an order route and a service that the team may not use.
type fakeDirectory struct{}

func (fakeDirectory) Authenticate(token string) (chestnutroad.TeamID, bool) {
	return "cobblers", token == "secret"
}

func (fakeDirectory) RoutePath(method, path string) (chestnutroad.Route, bool) {
	switch {
	case method == http.MethodPost && path == "/orders":
		return chestnutroad.Route{
			Service: "orders", Kind: chestnutroad.ServicePlain, Repeat: chestnutroad.RepeatNever,
			BodyLimit: 100, Deadline: 200 * time.Millisecond,
		}, true
	case method == http.MethodGet && path == "/private":
		return chestnutroad.Route{Service: "private", Repeat: chestnutroad.RepeatAllowed}, true
	default:
		return chestnutroad.Route{}, false
	}
}

func (fakeDirectory) RouteModel(model string) (chestnutroad.Route, bool) {
	return chestnutroad.Route{
		Service: "chat", Kind: chestnutroad.ServiceEngine, Repeat: chestnutroad.RepeatAllowed, MaxOutput: 64,
	}, model == "laces"
}

func (fakeDirectory) MayUse(_ chestnutroad.TeamID, service chestnutroad.ServiceID) bool {
	return service != "private"
}

func (fakeDirectory) TeamPriority(chestnutroad.TeamID) chestnutroad.Priority {
	return chestnutroad.PriorityChat
}

// forwardFunc adapts a function to a Forwarder.
type forwardFunc func(ctx context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error

func (fn forwardFunc) Forward(
	ctx context.Context, _ *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
) error {
	return fn(ctx, call, answer)
}

func startServer(t *testing.T, forward forwardFunc, opts ...Option) *httptest.Server {
	t.Helper()
	sv := New(func() chestnutroad.Directory { return fakeDirectory{} }, forward, opts...)
	server := httptest.NewUnstartedServer(nil)
	server.Config = sv.HTTPServer()
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func failOnForward(t *testing.T) forwardFunc {
	t.Helper()
	return func(context.Context, *chestnutroad.Call, chestnutroad.Answer) error {
		t.Error("a refused request was forwarded")
		return nil
	}
}

func sendRequest(t *testing.T, server *httptest.Server, method, path, token, key, body string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(answer)
}

// TestRefusals guards against invalid requests that are forwarded, refused with the wrong kind or not reported as not run.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name, method, path, token, key, body string
		status                               int
		kind                                 chestnutroad.Kind
	}{
		{"no token", "POST", chatPath, "", "", `{}`, 401, chestnutroad.Unauthenticated},
		{"wrong token", "POST", chatPath, "guess", "", `{}`, 401, chestnutroad.Unauthenticated},
		{"empty body", "POST", chatPath, "secret", "", ``, 400, chestnutroad.BadRequest},
		{"malformed body", "POST", chatPath, "secret", "", `{"model":`, 400, chestnutroad.BadRequest},
		{"body that is not an object", "POST", chatPath, "secret", "", `[1]`, 400, chestnutroad.BadRequest},
		{"no messages", "POST", chatPath, "secret", "", `{"model":"laces"}`, 400, chestnutroad.BadRequest},
		{"wrong method", "GET", chatPath, "secret", "", ``, 400, chestnutroad.BadRequest},
		{"unknown model", "POST", chatPath, "secret", "", `{"model":"x","messages":[{"role":"user"}]}`, 404, chestnutroad.UnknownService},
		{"unknown path", "GET", "/nothing", "secret", "", ``, 404, chestnutroad.UnknownService},
		{"unknown method of a path", "DELETE", "/orders", "secret", "k", ``, 404, chestnutroad.UnknownService},
		{"forbidden service", "GET", "/private", "secret", "", ``, 403, chestnutroad.Forbidden},
		{"order without a key", "POST", "/orders", "secret", "", `{}`, 400, chestnutroad.KeyRequired},
		{"key too long", "POST", "/orders", "secret", strings.Repeat("k", 257), `{}`, 400, chestnutroad.BadRequest},
		{"body over the service's limit", "POST", "/orders", "secret", "k", strings.Repeat("x", 101), 413, chestnutroad.TooLarge},
		{"body over the limit of all services", "POST", "/orders", "secret", "k", strings.Repeat("x", maxBodyBytes+1), 413, chestnutroad.TooLarge},
	}
	server := startServer(t, failOnForward(t))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, _, body := sendRequest(t, server, tt.method, tt.path, tt.token, tt.key, tt.body)
			var got errorBody
			if err := json.Unmarshal([]byte(body), &got); err != nil {
				t.Fatalf("answer %q: %v", body, err)
			}
			if status != tt.status || got.Error.Kind != tt.kind || !got.Error.NotRun {
				t.Errorf("got status %d and %+v, want %d %s as not run", status, got.Error, tt.status, tt.kind)
			}
		})
	}
}

// TestRetryAfterIsRoundedUp guards against a Retry-After that makes callers retry too early.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	server := startServer(t, func(context.Context, *chestnutroad.Call, chestnutroad.Answer) error {
		return chestnutroad.Refuse(chestnutroad.Overloaded, "full").WithRetryAfter(1200 * time.Millisecond)
	})
	status, header, _ := sendRequest(t, server, "POST", "/orders", "secret", "k", `{}`)
	if status != http.StatusTooManyRequests || header.Get("Retry-After") != "2" {
		t.Errorf("got status %d, Retry-After %q", status, header.Get("Retry-After"))
	}
}

// TestDeadlineOfOrder guards against an order that may have run being reported as not run.
func TestDeadlineOfOrder(t *testing.T) {
	server := startServer(t, func(ctx context.Context, _ *chestnutroad.Call, _ chestnutroad.Answer) error {
		<-ctx.Done()
		return ctx.Err()
	})
	status, _, body := sendRequest(t, server, "POST", "/orders", "secret", "k", `{}`)
	if status != http.StatusGatewayTimeout || !strings.Contains(body, `"Kind":"OutcomeUnknown"`) || !strings.Contains(body, `"NotRun":false`) {
		t.Errorf("got status %d, body %s", status, body)
	}
}

const chatRequest = `{"model":"laces","messages":[{"role":"user","content":"hello"}],"stream":`

func chunkOf(content string) []byte {
	return []byte(`data: {"id":"1","model":"laces","choices":[{"delta":{"content":"` + content + `"}}]}` + "\n\n")
}

func answerWords(words ...string) forwardFunc {
	return func(_ context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error {
		if !strings.Contains(strings.ReplaceAll(string(call.Body), " ", ""), `"stream":true`) {
			return errors.New("the engine was not asked to stream")
		}
		if err := answer.Head(http.StatusOK, http.Header{}); err != nil {
			return err
		}
		for _, word := range words {
			if err := answer.Chunk(chunkOf(word), 1); err != nil {
				return err
			}
		}
		return answer.Chunk([]byte("data: [DONE]\n\n"), 0)
	}
}

// TestChatForms guards against an answer whose content differs between the streamed and the buffered form.
func TestChatForms(t *testing.T) {
	server := startServer(t, answerWords("a", "b", "c"))
	_, header, streamed := sendRequest(t, server, "POST", chatPath, "secret", "", chatRequest+`true}`)
	if header.Get("Content-Type") != "text/event-stream" || strings.Count(streamed, "data: ") != 4 ||
		!strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Errorf("streamed answer: %v %q", header, streamed)
	}
	_, _, buffered := sendRequest(t, server, "POST", chatPath, "secret", "", chatRequest+`false}`)
	var completion chatCompletion
	if err := json.Unmarshal([]byte(buffered), &completion); err != nil || completion.Choices[0].Message.Content != "abc" ||
		completion.Usage.CompletionTokens != 3 {
		t.Errorf("buffered answer: %q, %v", buffered, err)
	}
}

// TestClosingServer guards against a caller that sends its next request on a connection that a stop closes.
func TestClosingServer(t *testing.T) {
	requests := []struct{ name, token, body string }{
		{"stream", "secret", chatRequest + `true}`},
		{"buffered answer", "secret", chatRequest + `false}`},
		{"refusal", "", chatRequest + `true}`},
	}
	for _, closing := range []bool{false, true} {
		// The stop begins while the request is handled.
		var stopping atomic.Bool
		server := startServer(t, func(ctx context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error {
			stopping.Store(closing)
			return answerWords("a")(ctx, call, answer)
		}, WithClosing(stopping.Load))
		for _, request := range requests {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+chatPath, strings.NewReader(request.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+request.token)
			resp, err := server.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.Close != closing {
				t.Errorf("%s: the answer closes the connection: %t, want %t", request.name, resp.Close, closing)
			}
		}
	}
}

// TestBrokenStreamIsVisible guards against a caller taking a partial answer for a complete one.
func TestBrokenStreamIsVisible(t *testing.T) {
	server := startServer(t, func(_ context.Context, _ *chestnutroad.Call, answer chestnutroad.Answer) error {
		if err := answer.Head(http.StatusOK, http.Header{}); err != nil {
			return err
		}
		if err := answer.Chunk(chunkOf("a"), 1); err != nil {
			return err
		}
		return chestnutroad.Refuse(chestnutroad.StreamBroken, "no engine left")
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+chatPath, strings.NewReader(chatRequest+`true}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil || strings.Contains(string(body), "[DONE]") || !strings.Contains(string(body), "StreamBroken") {
		t.Errorf("got %q, error %v; want a StreamBroken event and an aborted connection", body, err)
	}
}

// TestSlowCaller guards against a caller that stops reading and keeps its stream open forever.
func TestSlowCaller(t *testing.T) {
	ended := make(chan error, 1)
	chunk := chunkOf(strings.Repeat("x", 64<<10))
	server := startServer(t, func(_ context.Context, _ *chestnutroad.Call, answer chestnutroad.Answer) error {
		err := answer.Head(http.StatusOK, http.Header{})
		for err == nil {
			err = answer.Chunk(chunk, 1)
		}
		ended <- err
		return err
	}, WithWriteTimeout(100*time.Millisecond))
	conn := dialAndSend(t, server, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"+
		"Content-Length: "+strconv.Itoa(len(chatRequest)+len(`true}`))+"\r\n\r\n"+chatRequest+`true}`)
	defer func() { _ = conn.Close() }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the stream ended without an error")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the stream to a caller that does not read was still open after 10 s")
	}
}

// TestEndlessHeader guards against an endless header that fills the host's memory.
func TestEndlessHeader(t *testing.T) {
	server := startServer(t, failOnForward(t))
	conn := dialAndSend(t, server, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", maxHeaderBytes+8<<10))
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.Contains(line, "431") {
		t.Errorf("got %q; want 431 or a closed connection", line)
	}
}

func dialAndSend(t *testing.T, server *httptest.Server, text string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Logf("the server closed the connection while the request was sent: %v", err)
	}
	return conn
}

// TestChatIdentity guards against requests of one chat that get different identities, and chats that share one.
func TestChatIdentity(t *testing.T) {
	parse := func(text string) *chatBody {
		var body chatBody
		if err := json.Unmarshal([]byte(text), &body); err != nil {
			t.Fatal(err)
		}
		return &body
	}
	const first = `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"one"}]}`
	tests := []struct {
		name, a, b string
		same       bool
	}{
		{"a grown chat", first, `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"one"},{"role":"assistant","content":"x"}]}`, true},
		{"another first message", first, `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"two"}]}`, false},
		{"another user", first, `{"user":"u","messages":[{"role":"system","content":"s"},{"role":"user","content":"one"}]}`, false},
		{"the same explicit id", `{"conversation":"c","messages":[]}`, `{"conversation":{"id":"c"},"messages":[{"role":"user","content":"x"}]}`, true},
		{"conversation before metadata", `{"conversation":"c","metadata":{"chat_id":"d"}}`, `{"conversation":"c"}`, true},
		{"metadata", `{"metadata":{"chat_id":"d"}}`, `{"metadata":{"chat_id":"e"}}`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			same := identifyChat("team", parse(tt.a)) == identifyChat("team", parse(tt.b))
			if same != tt.same {
				t.Errorf("same identity: %v, want %v", same, tt.same)
			}
		})
	}
	if identifyChat("a", parse(first)) == identifyChat("b", parse(first)) {
		t.Error("chats of two teams have the same identity")
	}
}
