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

// serve runs one host until the context ends.
func serve(ctx context.Context, env *cli.Environment, arguments *cli.Serve) error {
	if arguments.Host == "" {
		return serveEntry(ctx, env)
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
	opts, finish, err := recorder(set, incarnation)
	if err != nil {
		return err
	}
	running := host.New(set, platform.NewLog(set.LogAddress.String()), platform.NewHostList(set.HostListAddress.String()),
		logger, opts...)
	if err := useFiles(running, set, arguments); err != nil {
		return cli.Exit(cli.CodeFinding, err)
	}
	return errors.CombineErrors(running.Run(ctx), finish())
}

// recorder returns the host's options and opens the time line file where the settings name one.
func recorder(
	set *settings.Host, incarnation chestnutroad.Incarnation,
) (opts []host.Option, finish func() error, err error) {
	opts = append(make([]host.Option, 0, 2), host.WithIncarnation(incarnation))
	if set.TimelineFile == "" {
		return opts, func() error { return nil }, nil
	}
	file, err := os.Create(set.TimelineFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the time line file")
	}
	events := timeline.NewRecorder(file, set.ID, incarnation)
	finish = func() error { return errors.CombineErrors(events.Close(), file.Close()) }
	return append(opts, host.WithRecorder(events)), finish, nil
}

// useFiles puts settings files in force until a published configuration is read.
func useFiles(running *host.Host, set *settings.Host, arguments *cli.Serve) error {
	if arguments.Base == "" {
		return nil
	}
	parsed, err := settings.Load(arguments.Base, arguments.Overlay...)
	if err != nil {
		return err
	}
	effective, known := parsed.Effective(set.Site)
	if !known {
		return errors.Newf("the settings have no site %s", set.Site)
	}
	running.UseSettings(effective)
	return nil
}
