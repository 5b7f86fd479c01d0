package cli

import (
	"context"
	"net/netip"
	"time"
)

// Load sends requests to entry hosts and measures the answers.
type Load struct {
	Rate     float64       `arg:"--rate" default:"10" help:"requests a second"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"time to send requests"`
	Token    string        `arg:"--token" placeholder:"TOKEN" help:"bearer token of the team"`
	Model    string        `arg:"--model" placeholder:"MODEL" help:"model of the chats [default: no chats]"`
	Chats    int           `arg:"--chats" default:"100" help:"number of chats that the requests continue"`

	MaxTokens  int              `arg:"--max-tokens" default:"64" help:"length of an answer in tokens"`
	OrderPath  string           `arg:"--order-path" placeholder:"PATH" help:"path of orders, such as /orders [default: no orders]"`
	OrderShare float64          `arg:"--order-share" default:"0.2" help:"part of the requests that are orders, from 0 to 1"`
	Seed       uint64           `arg:"--seed" default:"1" help:"seed of all random choices"`
	JSON       bool             `arg:"--json" help:"print JSON"`
	Entries    []netip.AddrPort `arg:"positional,required" placeholder:"IP:PORT" help:"callers' addresses of entry hosts"`
}

// WithLoad sets the function that sends requests and prints the measurements.
func WithLoad(load func(ctx context.Context, env *Environment, arguments *Load) error) Option {
	return func(env *Environment) { env.load = load }
}

// Run calls the function of WithLoad.
func (cm *Load) Run(ctx context.Context, env *Environment) error {
	if env.load == nil {
		return errNotImplemented
	}
	return env.load(ctx, env, cm)
}
