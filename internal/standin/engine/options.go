package engine

import (
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// The defaults of the options.
const (
	defaultBatchSlots  = 16
	defaultMaxWaiting  = 256
	defaultCacheTokens = 200_000
	defaultOutput      = 64
	defaultTokenTime   = 20 * time.Millisecond
	defaultBatchTime   = time.Millisecond
)

// Option configures an Engine.
type Option func(*Engine)

// WithID sets the engine's target id in load reports, cache events and health checks.
func WithID(id chestnutroad.TargetID) Option {
	return func(en *Engine) { en.id = id }
}

// WithIncarnation sets the incarnation; the default is the start time in nanoseconds since 1970.
func WithIncarnation(incarnation chestnutroad.Incarnation) Option {
	return func(en *Engine) { en.incarnation = incarnation }
}

// WithBatch sets how many sequences run at once, and how many may wait for a slot before the engine refuses further ones.
func WithBatch(slots, maxWaiting int) Option {
	return func(en *Engine) { en.batch = newBatch(slots, maxWaiting) }
}

// WithTokenTime sets the time to generate one token: base plus perSequence for each running sequence.
func WithTokenTime(base, perSequence time.Duration) Option {
	return func(en *Engine) { en.tokenTime, en.batchTime = base, perSequence }
}

// WithCacheTokens sets the capacity of the prefix cache in tokens.
func WithCacheTokens(tokens chestnutroad.Tokens) Option {
	return func(en *Engine) { en.cacheTokens = tokens }
}

// WithDefaultOutput sets the number of tokens to generate for a request without a limit.
func WithDefaultOutput(tokens chestnutroad.Tokens) Option {
	return func(en *Engine) { en.output = tokens }
}

// WithFaultInjector sets the injector whose faults the engine applies.
func WithFaultInjector(injector *standin.FaultInjector) Option {
	return func(en *Engine) { en.faults = injector }
}
