package cli

import (
	"context"
	"net/netip"
)

// Replay holds the arguments of replay.
type Replay struct {
	Entries []netip.AddrPort `arg:"--entry,separate,required" placeholder:"IP:PORT" help:"callers' addresses of entry hosts"`
	Speed   float64          `arg:"--speed" default:"1" help:"multiple of the recorded speed"`
	Token   string           `arg:"--token" placeholder:"TOKEN" help:"bearer token of the team"`
	JSON    bool             `arg:"--json" help:"print JSON"`
	Trace   string           `arg:"positional,required" placeholder:"FILE" help:"recorded trace"`
}

// WithReplay sets the function that sends a trace again.
func WithReplay(replay func(ctx context.Context, env *Environment, arguments *Replay) error) Option {
	return func(env *Environment) { env.replay = replay }
}

// Run sends the requests of the trace.
func (cm *Replay) Run(ctx context.Context, env *Environment) error {
	if env.replay == nil {
		return errNotBuiltIn
	}
	return env.replay(ctx, env, cm)
}
