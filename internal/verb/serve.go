package verb

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/host"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// serve runs a host until the context is cancelled. Without a host settings file it runs an entry host.
func serve(ctx context.Context, env *cli.Environment, arguments *cli.Serve) error {
	signals := notifySignals()
	if arguments.Host == "" {
		return serveEntry(ctx, env, signals)
	}
	set, err := settings.LoadHost(arguments.Host)
	if err != nil {
		return cli.Exit(cli.CodeFinding, err)
	}
	incarnation := member.IncarnationAt(time.Now())
	logger, err := logging.New(env.Err, set.LogLevel, logging.Fields{
		Host: set.ID, Site: set.Site, DataCentre: set.DataCentre, Incarnation: incarnation,
	})
	if err != nil {
		return err
	}
	go handleSignals(signals, logger, func() {
		logger.Info("received SIGHUP, which changes nothing: the process settings are read at the start only")
	})
	opts, finish, err := hostOptions(set, incarnation)
	if err != nil {
		return err
	}
	running := host.New(set, platform.NewLog(set.LogAddress.String()), platform.NewHostList(set.HostListAddress.String()),
		logger, opts...)
	if err := applySettingsFiles(running, set, arguments); err != nil {
		return cli.Exit(cli.CodeFinding, err)
	}
	return errors.CombineErrors(running.Run(ctx), finish())
}

// hostOptions returns the host's options, and opens the timeline file if the settings name one; finish closes the file.
func hostOptions(
	set *settings.Host, incarnation chestnutroad.Incarnation,
) (opts []host.Option, finish func() error, err error) {
	opts = append(make([]host.Option, 0, 2), host.WithIncarnation(incarnation))
	if set.TimelineFile == "" {
		return opts, func() error { return nil }, nil
	}
	file, err := os.Create(set.TimelineFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create the timeline file")
	}
	events := timeline.NewRecorder(file, set.ID, incarnation)
	finish = func() error { return errors.CombineErrors(events.Close(), file.Close()) }
	return append(opts, host.WithRecorder(events)), finish, nil
}

// applySettingsFiles applies the settings files, if any; they are in force until the host reads a published configuration.
func applySettingsFiles(running *host.Host, set *settings.Host, arguments *cli.Serve) error {
	if arguments.Base == "" {
		return nil
	}
	parsed, err := settings.Load(arguments.Base, arguments.Overlay...)
	if err != nil {
		return err
	}
	effective, found := parsed.Effective(set.Site)
	if !found {
		return errors.Newf("the settings have no site %q", set.Site)
	}
	running.UseSettings(effective)
	return nil
}
