package logservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// maxWait limits the time for which a read waits for records.
const maxWait = 30 * time.Second

// Start serves a new log on the address.
func Start(address string, options ...Option) (*standin.Server, error) {
	lg := New(options...)
	return standin.Start(address, lg.faults, lg.Handler())
}

// Handler returns the handler of appends and reads.
func (lg *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", lg.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", lg.serveRead)
	return mux
}

func (lg *Log) serveAppend(rw http.ResponseWriter, req *http.Request) {
	var request platform.AppendRequest
	// The record is base64 in the body, which takes 4/3 of its size.
	limit := int64(lg.maxRecordBytes)*2 + 1024
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, limit)).Decode(&request)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	offset, err := lg.add(chestnutroad.Stream(req.PathValue("stream")), request.Data)
	switch {
	case errors.Is(err, platform.ErrTooManyAppends):
		rw.Header().Set("Retry-After", "1")
		standin.WriteError(rw, http.StatusTooManyRequests, err.Error())
	case errors.Is(err, platform.ErrRecordTooLarge):
		standin.WriteError(rw, http.StatusRequestEntityTooLarge, err.Error())
	case lg.faults.TakeLostAnswer():
		standin.Abort(rw)
	default:
		standin.WriteJSON(rw, http.StatusOK, platform.AppendResponse{Offset: offset})
	}
}

func (lg *Log) serveRead(rw http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.FormValue("from"), 10, 64)
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	wait, err := time.ParseDuration(req.FormValue("wait"))
	if err != nil {
		standin.WriteError(rw, http.StatusBadRequest, "wait: "+err.Error())
		return
	}
	name := chestnutroad.Stream(req.PathValue("stream"))
	batch, err := lg.read(req.Context(), name, chestnutroad.Offset(from), min(wait, maxWait))
	if err != nil {
		return
	}
	standin.WriteJSON(rw, http.StatusOK, batch)
}
