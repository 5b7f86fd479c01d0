package platform

import (
	"context"
	"fmt"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// HostList is the client of the platform's host list.
type HostList struct {
	exchanger
	timeout time.Duration
}

var _ chestnutroad.HostList = (*HostList)(nil)

// NewHostList returns a client of the host list at the address, an IP number and port.
func NewHostList(address string, options ...Option) *HostList {
	st := newSettings(options)
	return &HostList{
		exchanger: exchanger{address: address, transport: target.KeepAliveHTTP1(st.limits)},
		timeout:   st.timeout,
	}
}

// Close closes the connections that carry no exchange.
func (hl *HostList) Close() { hl.transport.CloseIdleConnections() }

// Hosts returns the listed machines.
func (hl *HostList) Hosts(ctx context.Context) ([]chestnutroad.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, hl.timeout)
	defer cancel()
	var response HostsResponse
	err := hl.get(ctx, "/hosts", &response)
	if err == nil && response.Hosts == nil {
		// An answer without the list must not pass for a platform without machines.
		err = fmt.Errorf("%w: no list", ErrUnavailable)
	}
	return response.Hosts, err
}
