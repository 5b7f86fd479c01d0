package service

import (
	"context"
	"net/http"

	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// ReadExecutions fetches the execution counts of a service, which may run in another process.
func ReadExecutions(ctx context.Context, control *standin.Control) (Executions, error) {
	var executions Executions
	err := control.Exchange(ctx, http.MethodGet, "/admin/executions", nil, &executions)
	return executions, err
}
