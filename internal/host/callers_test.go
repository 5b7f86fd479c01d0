package host

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad/internal/callerconn"
)

// startCallers starts a server for callers.
func startCallers(
	t *testing.T, idleTimeout time.Duration, certificateFile string, handler http.HandlerFunc,
) (server *callerServer, ended <-chan error) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cs, err := newCallerServer(&http.Server{Handler: handler, IdleTimeout: idleTimeout}, listener, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cs.server.Close() })
	result := make(chan error, 1)
	go func() { result <- cs.serve(certificateFile, certificateFile) }()
	return cs, result
}

// TestIdleConnectionsAreSwept guards against connections of callers that stay open for good, since net/http doesn't close idle ones here.
func TestIdleConnectionsAreSwept(t *testing.T) {
	t.Parallel()
	cs, _ := startCallers(t, 300*time.Millisecond, "", func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go cs.sweepIdle(ctx)
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", cs.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the idle connection was not closed: %v", err)
	}
}

// TestDrainWithHTTP2 guards against a drain that cuts off a request on an HTTP/2 connection, or that waits for one without requests.
func TestDrainWithHTTP2(t *testing.T) {
	t.Parallel()
	const handlerTime = time.Second
	source := httptest.NewTLSServer(http.NotFoundHandler())
	defer source.Close()
	certificate := source.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	encoded := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]})
	encoded = append(encoded, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})...)
	path := filepath.Join(t.TempDir(), "caller.pem")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{}, 1)
	cs, _ := startCallers(t, time.Minute, path, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			started <- struct{}{}
			time.Sleep(handlerTime)
		}
	})
	call := func(path string) error {
		roots := x509.NewCertPool()
		roots.AddCert(source.Certificate())
		transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "example.com"}}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+cs.listener.Addr().String()+path, http.NoBody)
		if err != nil {
			return err
		}
		resp, err := (&http.Client{Transport: transport}).Do(req)
		if err != nil {
			return err
		}
		if resp.ProtoMajor != 2 {
			return errors.New("the answer is not of HTTP/2")
		}
		return resp.Body.Close()
	}
	// This connection stays open without a request.
	if err := call("/"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() { answered <- call("/slow") }()
	<-started
	begin := time.Now()
	if complete := cs.drain(t.Context()); !complete {
		t.Error("the drain was not complete")
	}
	if err := <-answered; err != nil {
		t.Errorf("the request that was open failed: %v", err)
	}
	if took := time.Since(begin); took > callerconn.HeaderTimeout+handlerTime+2*time.Second {
		t.Errorf("the drain took %s", took)
	} else {
		t.Logf("the drain took %s", took)
	}
}

// TestDrainOfServerThatFailed guards against a host that never ends because its certificate can't be read, and against the end of a
// listener in a drain that counts as a failure.
func TestDrainOfServerThatFailed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		certificate string
		fails       bool
	}{
		{"no certificate", "", false},
		{"certificate that doesn't exist", "missing.pem", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cs, ended := startCallers(t, time.Minute, tc.certificate, http.NotFound)
			drained := make(chan bool, 1)
			go func() { drained <- cs.drain(t.Context()) }()
			select {
			case complete := <-drained:
				if err := <-ended; !complete || (err != nil) != tc.fails || errors.Is(err, net.ErrClosed) {
					t.Errorf("drained is %t, the server ended with %v", complete, err)
				}
			case <-time.After(10 * time.Second):
				t.Error("the drain did not end within 10 s")
			}
		})
	}
}
