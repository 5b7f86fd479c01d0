package engine

import (
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// The default sizes and times.
const (
	defaultBatchSlots  = 16
	defaultWaiting     = 256
	defaultCacheTokens = 200_000
	defaultOutput      = 64
	defaultTokenTime   = 20 * time.Millisecond
	defaultBatchTime   = time.Millisecond
)

// Option changes an engine.
type Option func(*Engine)

// WithID sets the engine's name in reports and events.
func WithID(id chestnutroad.TargetID) Option {
	return func(en *Engine) { en.id = id }
}

// WithIncarnation replaces the incarnation, which is otherwise the start time.
func WithIncarnation(incarnation chestnutroad.Incarnation) Option {
	return func(en *Engine) { en.incarnation = incarnation }
}

// WithBatch sets how many sequences run at once, and how many may wait before the engine refuses.
func WithBatch(slots, waiting int) Option {
	return func(en *Engine) { en.batch = newBatch(slots, waiting) }
}

// WithTokenTime sets the time of one generated token: base, and perSequence for each sequence in the batch.
func WithTokenTime(base, perSequence time.Duration) Option {
	return func(en *Engine) { en.tokenTime, en.batchTime = base, perSequence }
}

// WithCacheTokens sets the size of the prefix cache.
func WithCacheTokens(tokens chestnutroad.Tokens) Option {
	return func(en *Engine) { en.cacheTokens = tokens }
}

// WithDefaultOutput sets the number of tokens of an answer whose request sets no limit.
func WithDefaultOutput(tokens chestnutroad.Tokens) Option {
	return func(en *Engine) { en.output = tokens }
}

// WithFaultInjector has the engine obey these faults.
func WithFaultInjector(switches *standin.FaultInjector) Option {
	return func(en *Engine) { en.switches = switches }
}
