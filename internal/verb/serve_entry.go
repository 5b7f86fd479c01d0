package verb

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/entry"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
)

const (
	// storeDialTimeout limits the time to connect to the store, which normally answers within a few milliseconds.
	storeDialTimeout = 500 * time.Millisecond
	// memoryLimitShare is the fraction of the host's memory that is set as the Go runtime's soft memory limit.
	memoryLimitShare = 0.6
	// gcPercent keeps the heap small, because peak memory has a price and the live heap of a host is only a few MB.
	gcPercent = 50
)

// serveEntry runs an entry host with the settings file that the environment variable names.
func serveEntry(ctx context.Context, env *cli.Environment, signals <-chan os.Signal) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return cli.Exit(cli.CodeUsage, errors.Newf("set --host, or set %s to the path of the settings file", platform.SettingsVariable))
	}
	set, err := settings.LoadEntry(path)
	if err != nil {
		return cli.Exit(cli.CodeFinding, err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(set.Memory)))
	fields := logging.Fields{
		Host: set.ID, DataCentre: set.DataCentre, Incarnation: member.IncarnationAt(time.Now()),
	}
	lines := logging.NewQueue(env.Out, func(count uint64) []byte { return droppedLine(set.ID, count) })
	defer lines.Close()
	logger, err := logging.New(lines, set.LogLevel, fields)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	requests, err := logging.New(lines.Minor(), set.LogLevel, fields)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	store := platform.NewStore(set.StoreAddress.String(), storeDialTimeout)
	running := entry.New(set, store, platform.Wire{}, platform.Decoder{}, logger,
		entry.WithRequestLog(requests), entry.WithDroppedLines(lines.Dropped), entry.WithLog(platform.NewLog(store)))
	reload, settingsLog := make(chan struct{}, 1), logging.For(logger, "settings")
	go handleSignals(signals, logging.For(logger, "signals"), func() {
		settingsLog.Info("received SIGHUP, checking the settings file")
		select {
		case reload <- struct{}{}:
		default:
		}
	})
	// The settings are also applied during the drain, since they may shorten the grace period.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go reloadSettings(serving, path, running, reload, settingsLog)
	return running.Run(ctx)
}

// droppedLine formats the log line that states the number of dropped lines.
func droppedLine(host chestnutroad.HostID, count uint64) []byte {
	var line bytes.Buffer
	logger, err := logging.New(&line, "warn", logging.Fields{Host: host})
	if err == nil {
		logger.Warn("log lines were dropped", "Count", count)
	}
	return line.Bytes()
}

// reloadInterval is the time between two checks of the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings applies the settings file whenever its text has changed; it checks the file at regular intervals and when reload
// receives. Invalid settings are logged and not applied.
func reloadSettings(
	ctx context.Context, path string, running *entry.Entry, reload <-chan struct{}, logger *log.Logger,
) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	applied, failed := readSettings(path), ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		text := readSettings(path)
		if text == applied || text == failed {
			continue
		}
		set, err := settings.ParseEntry(settings.File{Name: path, Text: text})
		if err != nil {
			logger.Error("changed settings are invalid", "Error", err)
			failed = text
			continue
		}
		running.Apply(set)
		applied, failed = text, ""
		logger.Info("applied changed settings")
	}
}

// readSettings returns the text of the file, or an empty text if it can't be read, for example while it is being replaced.
func readSettings(path string) string {
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return ""
	}
	return string(text)
}
