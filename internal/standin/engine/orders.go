package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

const maxOrderBody = 64 << 10

// OrderList is the answer to GET /admin/orders: the orders obeyed, in order of arrival.
type OrderList struct {
	Orders []chestnutroad.EngineOrder
}

// orders holds the orders obeyed and the highest fencing number seen.
type orders struct {
	mu      sync.Mutex
	highest chestnutroad.FencingNumber
	list    []chestnutroad.EngineOrder
}

// obey adds the order, unless its number is old and the engine checks it.
func (or *orders) obey(order chestnutroad.EngineOrder, ignoreNumber bool) bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	if order.Number < or.highest && !ignoreNumber {
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
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxOrderBody)).Decode(&order)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	if !en.orders.obey(order, en.switches.Get().IgnoreFencing) {
		standin.WriteError(rw, http.StatusConflict, "a higher fencing number was seen")
		return
	}
	standin.WriteJSON(rw, http.StatusOK, order)
}
