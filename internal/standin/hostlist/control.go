package hostlist

import (
	"context"
	"net/http"
	"net/url"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// SetHosts replaces the machines of a list that may run in another process.
func SetHosts(ctx context.Context, control *standin.Control, hosts []chestnutroad.ListedHost) error {
	return control.Exchange(ctx, http.MethodPut, "/admin/hosts", platform.HostsResponse{Hosts: hosts}, nil)
}

// PutHost adds one machine to a list that may run in another process, or replaces the one with its name.
func PutHost(ctx context.Context, control *standin.Control, host chestnutroad.ListedHost) error {
	return control.Exchange(ctx, http.MethodPut, hostPath(host.Name), host, nil)
}

// RemoveHost removes the machine with that name from a list that may run in another process.
func RemoveHost(ctx context.Context, control *standin.Control, name string) error {
	return control.Exchange(ctx, http.MethodDelete, hostPath(name), nil, nil)
}

func hostPath(name string) string { return "/admin/hosts/" + url.PathEscape(name) }
