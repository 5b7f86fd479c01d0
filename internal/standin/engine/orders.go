package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

const maxOrderBytes = 64 << 10

// OrderList is the body of the answer to GET /admin/orders: the accepted engine orders, in order of arrival.
type OrderList struct {
	Orders []chestnutroad.EngineOrder
}

// orders holds the accepted engine orders and the highest fencing number among them.
type orders struct {
	mu      sync.Mutex
	highest chestnutroad.FencingNumber
	list    []chestnutroad.EngineOrder
}

// apply accepts the order and returns true, unless its fencing number is lower than the highest one and ignoreFencing is false.
func (or *orders) apply(order chestnutroad.EngineOrder, ignoreFencing bool) bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	if order.Number < or.highest && !ignoreFencing {
		return false
	}
	or.highest = max(or.highest, order.Number)
	or.list = append(or.list, order)
	return true
}

func (or *orders) applied() []chestnutroad.EngineOrder {
	or.mu.Lock()
	defer or.mu.Unlock()
	return slices.Clone(or.list)
}

func (en *Engine) serveOrder(rw http.ResponseWriter, req *http.Request) {
	var order chestnutroad.EngineOrder
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxOrderBytes)).Decode(&order)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	if !en.orders.apply(order, en.faults.Get().IgnoreFencing) {
		standin.WriteError(rw, http.StatusConflict, "the order's fencing number is lower than an earlier one")
		return
	}
	standin.WriteJSON(rw, http.StatusOK, order)
}
