package engine

import (
	"net/http"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

func (en *Engine) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	sample := en.history.asOf(time.Duration(en.faults.Get().Lag))
	standin.WriteJSON(rw, http.StatusOK, engine.Load{
		LoadReport: chestnutroad.LoadReport{
			Target:      en.id,
			Incarnation: en.incarnation,
			Taken:       sample.taken,
			Running:     sample.running,
			Work:        sample.work,
		},
		BatchSlots: en.batch.size(),
	})
}

func (en *Engine) serveEvents(rw http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.FormValue("after"), 10, 64)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, "after: "+err.Error())
		return
	}
	faults := en.faults.Get()
	answer := engine.Events{Incarnation: en.incarnation, Events: []chestnutroad.CacheEvent{}}
	for _, change := range en.cache.eventsAfter(after, time.Duration(faults.EventDelay), faults.EventGap) {
		// The cache accepts any value of the chat header, but an event can only carry a hexadecimal chat id.
		chat, err := strconv.ParseUint(change.chat, 16, 64)
		if err != nil {
			continue
		}
		answer.Events = append(answer.Events, chestnutroad.CacheEvent{
			Target:      en.id,
			Incarnation: en.incarnation,
			Sequence:    change.sequence,
			Chat:        chestnutroad.ChatID(chat),
			Cached:      change.tokens,
		})
	}
	standin.WriteJSON(rw, http.StatusOK, answer)
}
