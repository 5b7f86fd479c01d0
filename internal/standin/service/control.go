package service

import (
	"context"
	"net/http"

	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// ReadExecutions returns the counts of a service that may run in another process.
func ReadExecutions(ctx context.Context, control *standin.Control) (Executions, error) {
	var executions Executions
	err := control.Exchange(ctx, http.MethodGet, "/admin/executions", nil, &executions)
	return executions, err
}
