package engine

import (
	"context"
	"net/http"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// ReadStatistics fetches the statistics of an engine, which may run in another process.
func ReadStatistics(ctx context.Context, control *standin.Control) (Statistics, error) {
	var statistics Statistics
	err := control.Exchange(ctx, http.MethodGet, "/admin/statistics", nil, &statistics)
	return statistics, err
}

// ReadOrders fetches the engine orders that an engine accepted, in order of arrival.
func ReadOrders(ctx context.Context, control *standin.Control) ([]chestnutroad.EngineOrder, error) {
	var list OrderList
	err := control.Exchange(ctx, http.MethodGet, "/admin/orders", nil, &list)
	return list.Orders, err
}
