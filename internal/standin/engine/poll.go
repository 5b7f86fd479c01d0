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
	seen := en.reports.at(time.Duration(en.switches.Get().Lag))
	standin.WriteJSON(rw, http.StatusOK, engine.Load{
		LoadReport: chestnutroad.LoadReport{
			Target:      en.id,
			Incarnation: en.incarnation,
			Taken:       seen.taken,
			Running:     seen.running,
			Work:        seen.work,
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
	faults := en.switches.Get()
	answer := engine.Events{Incarnation: en.incarnation, Events: []chestnutroad.CacheEvent{}}
	for _, change := range en.cache.changes(after, time.Duration(faults.EventDelay), faults.EventGap) {
		// A chat header that is not a chat id in hexadecimal keys the cache but has no events.
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
