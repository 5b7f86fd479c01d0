package main

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
)

// logCommand serves an append-only log.
type logCommand struct {
	common
	KeepCount  int           `arg:"--keep-count" help:"records kept in each stream; 0 keeps all"`
	KeepAge    time.Duration `arg:"--keep-age" help:"maximum age of records; 0 keeps them forever"`
	AppendRate float64       `arg:"--append-rate" default:"500" help:"limit of appends a second over all streams; 0 sets no limit"`
	Burst      int           `arg:"--burst" default:"100" help:"largest burst of appends"`
}

func (lc *logCommand) start() (*standin.Server, error) {
	injector, err := lc.faultInjector()
	if err != nil {
		return nil, err
	}
	return logservice.Start(lc.Listen,
		logservice.WithFaultInjector(injector),
		logservice.WithRetention(lc.KeepCount, lc.KeepAge),
		logservice.WithAppendRate(lc.AppendRate, lc.Burst),
	)
}
