package cli

import (
	"context"
	"time"
)

// Demo runs a small site with stand-ins on this machine.
type Demo struct {
	Base     string        `arg:"--base" placeholder:"FILE" help:"base settings [default: the built-in example of Warta]"`
	Overlay  []string      `arg:"--overlay" placeholder:"FILE" help:"overlays of the base settings"`
	Site     string        `arg:"--site" placeholder:"SITE" help:"site to run [default: the only one]"`
	Hosts    int           `arg:"--hosts" default:"3" help:"number of hosts"`
	Duration time.Duration `arg:"--duration" default:"8s" help:"time to send requests"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of all random choices"`
	Token    string        `arg:"--token" default:"order-desk-token" help:"bearer token of the callers' team"`
	JSON     bool          `arg:"--json" help:"print JSON"`
}

// WithDemo sets the function that runs a small site with stand-ins.
func WithDemo(demo func(ctx context.Context, env *Environment, arguments *Demo) error) Option {
	return func(env *Environment) { env.demo = demo }
}

// Run calls the function of WithDemo.
func (cm *Demo) Run(ctx context.Context, env *Environment) error {
	if env.demo == nil {
		return errNotImplemented
	}
	return env.demo(ctx, env, cm)
}
