package main

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
)

type logCommand struct {
	common
	KeepCount  int           `arg:"--keep-count" help:"records kept a stream; 0 for all"`
	KeepAge    time.Duration `arg:"--keep-age" help:"age up to which records are kept; 0 for ever"`
	AppendRate float64       `arg:"--append-rate" default:"500" help:"appends a second of all streams together; 0 for no limit"`
	Burst      int           `arg:"--burst" default:"100" help:"appends accepted at once"`
}

func (lc *logCommand) start() (*standin.Server, error) {
	switches, err := lc.switches()
	if err != nil {
		return nil, err
	}
	return logservice.Start(lc.Listen,
		logservice.WithFaultInjector(switches),
		logservice.WithRetention(lc.KeepCount, lc.KeepAge),
		logservice.WithAppendRate(lc.AppendRate, lc.Burst),
	)
}
