package hostlist

import (
	"context"
	"net/http"
	"net/url"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// SetHosts replaces the hosts of a list, which may run in another process.
func SetHosts(ctx context.Context, control *standin.Control, hosts []chestnutroad.ListedHost) error {
	return control.Exchange(ctx, http.MethodPut, "/admin/hosts", platform.HostsResponse{Hosts: hosts}, nil)
}

// PutHost adds a host to a list, which may run in another process, or replaces the host of the same name.
func PutHost(ctx context.Context, control *standin.Control, host chestnutroad.ListedHost) error {
	return control.Exchange(ctx, http.MethodPut, hostPath(host.Name), host, nil)
}

// RemoveHost removes the host with the name from a list, which may run in another process.
func RemoveHost(ctx context.Context, control *standin.Control, name string) error {
	return control.Exchange(ctx, http.MethodDelete, hostPath(name), nil, nil)
}

func hostPath(name string) string { return "/admin/hosts/" + url.PathEscape(name) }
