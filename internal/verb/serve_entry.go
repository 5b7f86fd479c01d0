package verb

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/entry"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
)

const (
	// storeDialTimeout bounds the time to connect to the store, which answers within some ms.
	storeDialTimeout = 500 * time.Millisecond
	// memoryShare is the part of the host's memory that the Go runtime keeps to.
	memoryShare = 0.6
	// gcPercent keeps the heap small: memory at its peak is priced, and a host's live heap is a few MB.
	gcPercent = 50
)

// serveEntry runs an entry host with the settings that the platform names.
func serveEntry(ctx context.Context, env *cli.Environment) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return cli.Exit(cli.CodeUsage, errors.Newf("state --host, or the settings file in %s", platform.SettingsVariable))
	}
	set, err := settings.LoadEntry(path)
	if err != nil {
		return cli.Exit(cli.CodeFinding, err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(set.Memory)))
	logger, err := logging.New(env.Out, set.LogLevel, logging.Fields{
		Host: set.ID, DataCentre: set.DataCentre, Incarnation: member.IncarnationAt(time.Now()),
	})
	if err != nil {
		return errors.Wrap(err, "log")
	}
	store := platform.NewStore(set.StoreAddress.String(), storeDialTimeout)
	return entry.New(set, store, platform.Wire{}, platform.Decoder{}, logger).Run(ctx)
}
