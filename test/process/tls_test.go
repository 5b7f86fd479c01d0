package process

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/load"
)

// TestCallersOverTLS guards against unencrypted traffic of callers although the router's settings name a certificate: requests
// over TLS must be answered, and a request over plain HTTP must fail.
func TestCallersOverTLS(t *testing.T) {
	fl := startFleet(t, 1)
	rt := fl.routers[0]
	pool := addCertificate(t, rt)
	rt.signal(os.Kill)
	<-rt.exited
	rt.start(t)
	fl.awaitReady(t)
	plan := fl.plan(time.Second)
	plan.Entries = []string{"https://" + rt.caller}
	plan.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	summary := load.Run(t.Context(), plan).Summary()
	if summary.ChatsAnswered != summary.ChatsSent || summary.OrdersAnswered != summary.OrdersSent {
		t.Errorf("not all requests over TLS were answered: %+v", summary)
	}
	resp, err := http.Get("http://" + rt.caller + "/stock/x") //nolint:noctx // the address is local
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a request over plain HTTP got status %d, want %d", resp.StatusCode, http.StatusBadRequest)
	}
}

// addCertificate adds a new self-signed certificate to the router's settings and returns a pool that trusts it.
func addCertificate(t *testing.T, rt *router) *x509.CertPool {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	host, _, _ := strings.Cut(rt.caller, ":")
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	directory := filepath.Dir(rt.settingsPath)
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	writeFile(t, filepath.Join(directory, "caller.pem"), certificatePEM)
	writeFile(t, filepath.Join(directory, "caller.key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}))
	text, err := os.ReadFile(rt.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, rt.settingsPath, append(text, "CertificateFile = \"caller.pem\"\nKeyFile = \"caller.key\"\n"...))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certificatePEM)
	return pool
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
