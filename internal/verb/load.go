package verb

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/load"
)

// runLoad generates load on the entry hosts and prints a summary.
func runLoad(ctx context.Context, env *cli.Environment, arguments *cli.Load) error {
	entries := make([]string, 0, len(arguments.Entries))
	for _, entry := range arguments.Entries {
		entries = append(entries, "http://"+entry.String())
	}
	summary := load.Run(ctx, load.Plan{
		Entries: entries, Token: arguments.Token, Model: arguments.Model, OrderPath: arguments.OrderPath,
		OrderShare: arguments.OrderShare, Rate: arguments.Rate, Duration: arguments.Duration, Chats: arguments.Chats,
		MaxTokens: arguments.MaxTokens, Seed: arguments.Seed, Client: env.Client,
	}).Summary()
	if arguments.JSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summary)
	}
	_, err := fmt.Fprintf(env.Out, "chats %d of %d answered, orders %d of %d, retries %d, gave up %d\n"+
		"first token p50 %.0f p95 %.0f p99 %.0f ms, between tokens p95 %.0f ms, orders p95 %.0f p99 %.0f ms\n",
		summary.ChatsAnswered, summary.ChatsSent, summary.OrdersAnswered, summary.OrdersSent, summary.Retries,
		summary.GaveUp, summary.FirstTokenMs.P50, summary.FirstTokenMs.P95, summary.FirstTokenMs.P99,
		summary.BetweenMs.P95, summary.OrderMs.P95, summary.OrderMs.P99)
	return err
}
