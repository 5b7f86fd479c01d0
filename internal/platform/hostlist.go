package platform

import (
	"context"
	"fmt"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// HostList reads the platform's host list over HTTP.
type HostList struct {
	exchanger
	timeout time.Duration
}

var _ chestnutroad.HostList = (*HostList)(nil)

// NewHostList returns a client for the host list at the address, which is an IP address and port.
func NewHostList(address string, options ...Option) *HostList {
	st := newSettings(options)
	return &HostList{
		exchanger: exchanger{address: address, transport: target.KeepAliveHTTP1(st.limits)},
		timeout:   st.timeout,
	}
}

// Close closes the idle connections.
func (hl *HostList) Close() { hl.transport.CloseIdleConnections() }

// Hosts fetches the machines in the platform's list.
func (hl *HostList) Hosts(ctx context.Context) ([]chestnutroad.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, hl.timeout)
	defer cancel()
	var response HostsResponse
	err := hl.get(ctx, "/hosts", &response)
	if err == nil && response.Hosts == nil {
		// An answer without a list must not be taken for an empty list.
		err = fmt.Errorf("%w: answer without a host list", ErrUnavailable)
	}
	return response.Hosts, err
}
