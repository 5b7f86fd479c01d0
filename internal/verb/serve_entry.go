package verb

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
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
	// Without a handler, a SIGHUP that arrives before the reloading has started would end the process.
	signal.Ignore(syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(set.Memory)))
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
		entry.WithRequestLog(requests), entry.WithDroppedLines(lines.Dropped))
	go reloadSettings(ctx, path, running, logging.For(logger, "settings"))
	return running.Run(ctx)
}

// droppedLine returns the log line that tells how many lines were dropped.
func droppedLine(host chestnutroad.HostID, count uint64) []byte {
	var line bytes.Buffer
	logger, err := logging.New(&line, "warn", logging.Fields{Host: host})
	if err == nil {
		logger.Warn("log lines were dropped", "Count", count)
	}
	return line.Bytes()
}

// reloadInterval is the pause between two looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings applies the settings file again when it has changed; a file that can't be used changes nothing.
func reloadSettings(ctx context.Context, path string, running *entry.Entry, logger *log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	applied, failed := readText(path), ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			logger.Info("asked to read the settings again")
		case <-ticker.C:
		}
		text := readText(path)
		if text == applied || text == failed {
			continue
		}
		set, err := settings.ParseEntry(settings.File{Name: path, Text: text})
		if err != nil {
			logger.Error("the changed settings can't be used", "Error", err)
			failed = text
			continue
		}
		running.Apply(set)
		applied, failed = text, ""
		logger.Info("the changed settings are applied")
	}
}

// readText returns the file's text, or nothing while the file can't be read, as when it is being replaced.
func readText(path string) string {
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return ""
	}
	return string(text)
}
