package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/examples"
	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/demo"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// demoRequestRate is the number of requests per second.
const demoRequestRate = 60

var errIncomplete = errors.New("a caller did not get its whole answer, or an order ran twice")

// runDemo runs a small site under load, and prints the results of its callers and the site's measures.
func runDemo(ctx context.Context, env *cli.Environment, arguments *cli.Demo) error {
	files, err := demoFiles(arguments)
	if err != nil {
		return cli.Exit(cli.CodeFinding, err)
	}
	result, err := demo.Run(ctx, demo.Plan{
		Files: files, Site: arguments.Site, Hosts: arguments.Hosts, Duration: arguments.Duration, Rate: demoRequestRate,
		Seed: arguments.Seed, Token: arguments.Token, Logs: env.Err,
	})
	if err != nil {
		return err
	}
	if err := writeDemo(env, arguments.JSON, result); err != nil {
		return err
	}
	if !result.Complete {
		return cli.Exit(cli.CodeFinding, errIncomplete)
	}
	return nil
}

// demoFiles returns the settings files that the arguments name, or those of the built-in example.
func demoFiles(arguments *cli.Demo) ([]settings.File, error) {
	if arguments.Base == "" {
		return examples.Warta(), nil
	}
	var files []settings.File
	for _, path := range append([]string{arguments.Base}, arguments.Overlay...) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "the settings can't be read")
		}
		files = append(files, settings.File{Name: path, Text: string(text)})
	}
	return files, nil
}

// writeDemo prints the result as text or JSON.
func writeDemo(env *cli.Environment, asJSON bool, result *demo.Result) error {
	if asJSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	summary := result.Load
	_, err := fmt.Fprintf(env.Out, `One engine was closed in the middle of the run.
chats answered whole      %d of %d
orders answered           %d of %d, run twice: %d
wrong or cut-off answers  %d
first token, 95 in 100    %.0f ms; between tokens %.0f ms; orders %.0f ms
cache reuse               %.1f%% of the tokens that earlier turns had sent
highest skew              %s
control traffic           %.0f bytes a second and host
`,
		summary.ChatsAnswered, summary.ChatsSent, summary.OrdersAnswered, summary.OrdersSent, result.OrdersRunTwice,
		summary.Wrong+summary.Broken["stream"], summary.FirstTokenMs.P95, summary.BetweenMs.P95, summary.OrderMs.P95,
		100*result.Measures.CacheReuse, describeSkew(result.Measures), result.Measures.ControlBytesPerHost)
	return err
}

// describeSkew formats the highest ratio of an engine's load to the mean, or reports that the mean load was too low to count it.
func describeSkew(measures demo.Measures) string {
	if measures.HighestSkew == 0 {
		return fmt.Sprintf("not counted: the mean stayed below LoadFloor (%d work units); the highest load was %d",
			measures.LoadFloor, measures.HighestWork)
	}
	return fmt.Sprintf("%.2f times the mean, counted while the mean was over %d work units",
		measures.HighestSkew, measures.LoadFloor)
}
