package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
)

// hostListCommand serves a host list.
type hostListCommand struct {
	common
	Hosts string `arg:"--hosts" help:"file with the listed machines, as the JSON of GET /hosts"`
}

func (hc *hostListCommand) start() (*standin.Server, error) {
	injector, err := hc.faultInjector()
	if err != nil {
		return nil, err
	}
	var listed platform.HostsResponse
	if hc.Hosts != "" {
		data, err := os.ReadFile(hc.Hosts)
		if err != nil {
			return nil, err
		}
		err = json.Unmarshal(data, &listed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", hc.Hosts, err)
		}
	}
	return hostlist.Start(hc.Listen, listed.Hosts, hostlist.WithFaultInjector(injector))
}
