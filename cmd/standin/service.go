package main

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/service"
)

// serviceCommand serves a plain service.
type serviceCommand struct {
	common
	Deduplicate bool          `arg:"--deduplicate" help:"answer a repeated idempotency key with the receipt of its first execution"`
	WorkTime    time.Duration `arg:"--work-time" help:"time of each execution"`
}

func (sc *serviceCommand) start() (*standin.Server, error) {
	injector, err := sc.faultInjector()
	if err != nil {
		return nil, err
	}
	options := []service.Option{service.WithFaultInjector(injector), service.WithWorkTime(sc.WorkTime)}
	if sc.Deduplicate {
		options = append(options, service.WithDeduplication())
	}
	return service.Start(sc.Listen, options...)
}
