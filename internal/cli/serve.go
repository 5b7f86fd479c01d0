package cli

import "context"

// Serve runs a host.
type Serve struct {
	Host    string   `arg:"--host" placeholder:"FILE" help:"process settings; default: run an entry host from CHESTNUTROAD_SETTINGS"`
	Base    string   `arg:"--base" placeholder:"FILE" help:"base settings for a start without a published configuration"`
	Overlay []string `arg:"--overlay" placeholder:"FILE" help:"overlays of the base settings"`
}

// WithServe sets the function that runs a host until its context ends.
func WithServe(serve func(ctx context.Context, env *Environment, arguments *Serve) error) Option {
	return func(env *Environment) { env.serve = serve }
}

// Run calls the function of WithServe.
func (cm *Serve) Run(ctx context.Context, env *Environment) error {
	if env.serve == nil {
		return errNotImplemented
	}
	return env.serve(ctx, env, cm)
}
