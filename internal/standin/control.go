package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// controlTimeout limits each exchange with the admin paths of a stand-in, which faults don't slow down.
const controlTimeout = 5 * time.Second

// Control is a client for the admin paths of a stand-in, which may run in another process.
type Control struct {
	address string
	client  *http.Client
}

// NewControl returns a client for the stand-in at the address. Each exchange opens a connection, since a stand-in can make open
// connections go silent.
func NewControl(address string) *Control {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Control{address: address, client: &http.Client{Transport: transport, Timeout: controlTimeout}}
}

// SetFaults replaces the active faults.
func (co *Control) SetFaults(ctx context.Context, faults Faults) error {
	return co.Exchange(ctx, http.MethodPost, "/admin/faults", faults, nil)
}

// Silence makes the connections that are open now go silent; connections opened later work.
func (co *Control) Silence(ctx context.Context) error {
	request := struct{ SilenceConnections bool }{SilenceConnections: true}
	return co.Exchange(ctx, http.MethodPost, "/admin/faults", request, nil)
}

// Exchange sends the body as JSON, unless it is nil, and decodes the JSON answer into the value, unless that is nil. An answer
// with a status other than 200 is an error.
func (co *Control) Exchange(ctx context.Context, method, path string, body, into any) error {
	var payload io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode body of %s: %w", path, err)
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+co.address+path, payload)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := co.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	if into == nil {
		return nil
	}
	err = json.NewDecoder(resp.Body).Decode(into)
	if err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}
