package cli

import "context"

// Serve holds the arguments of serve.
type Serve struct {
	Host    string   `arg:"--host" placeholder:"FILE" help:"process settings of the host; without it, those that the platform names"`
	Base    string   `arg:"--base" placeholder:"FILE" help:"base settings for a start without a published configuration"`
	Overlay []string `arg:"--overlay" placeholder:"FILE" help:"overlays of the base settings"`
}

// WithServe sets the function that runs a host.
func WithServe(serve func(ctx context.Context, env *Environment, arguments *Serve) error) Option {
	return func(env *Environment) { env.serve = serve }
}

// Run runs a host until the context ends.
func (cm *Serve) Run(ctx context.Context, env *Environment) error {
	if env.serve == nil {
		return errNotBuiltIn
	}
	return env.serve(ctx, env, cm)
}
