package main

import (
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
)

// engineCommand serves a model engine.
type engineCommand struct {
	common
	ID          string        `arg:"--id" default:"engine" help:"name in load reports and cache events"`
	BatchSlots  int           `arg:"--batch-slots" default:"16" help:"sequences generated concurrently"`
	Waiting     int           `arg:"--waiting" default:"256" help:"requests that may wait; further ones are refused"`
	TokenTime   time.Duration `arg:"--token-time" default:"20ms" help:"time to generate a token"`
	BatchTime   time.Duration `arg:"--batch-time" default:"1ms" help:"additional time per token for each sequence in the batch"`
	CacheTokens int64         `arg:"--cache-tokens" default:"200000" help:"size of the prefix cache in tokens"`
	Output      int64         `arg:"--output" default:"64" help:"tokens of an answer when the request sets no limit"`
}

func (ec *engineCommand) start() (*standin.Server, error) {
	injector, err := ec.faultInjector()
	if err != nil {
		return nil, err
	}
	return engine.Start(ec.Listen,
		engine.WithFaultInjector(injector),
		engine.WithID(chestnutroad.TargetID(ec.ID)),
		engine.WithBatch(ec.BatchSlots, ec.Waiting),
		engine.WithTokenTime(ec.TokenTime, ec.BatchTime),
		engine.WithCacheTokens(chestnutroad.Tokens(ec.CacheTokens)),
		engine.WithDefaultOutput(chestnutroad.Tokens(ec.Output)),
	)
}
