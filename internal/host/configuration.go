package host

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/config"
	"github.com/chestnutroad/chestnutroad/internal/record"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

const (
	configReadWait    = time.Second
	configReadTimeout = 5 * time.Second
	configReadRetry   = 500 * time.Millisecond
)

// configuration reads the configuration stream and puts accepted versions in force.
type configuration struct {
	site   chestnutroad.SiteID
	log    chestnutroad.Log
	logger *log.Logger
	now    func() time.Time
	// apply puts an accepted version in force on this host.
	apply func(version chestnutroad.Version, offset chestnutroad.Offset, effective *settings.Effective)

	mu        sync.Mutex
	reader    *config.Reader
	inForce   chestnutroad.Version
	available bool
	lastRead  time.Time
}

func newConfiguration(
	site chestnutroad.SiteID, source chestnutroad.Log, logger *log.Logger, now func() time.Time, self record.Writer,
) *configuration {
	return &configuration{
		site:   site,
		log:    source,
		logger: logger,
		now:    now,
		reader: config.NewReader(self, CheckBody),
	}
}

// CheckBody returns an error if the configuration body is not valid.
func CheckBody(body []byte) error {
	_, err := settings.ParseBody(body)
	return err
}

// follow reads the stream until the context ends; it retries a failed read after configReadRetry.
func (cf *configuration) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := cf.read(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			cf.setAvailable(false)
			cf.logger.Warn("failed to read the configuration stream", "Error", err)
			pause(ctx, configReadRetry)
		}
	}
}

func (cf *configuration) read(ctx context.Context) error {
	cf.mu.Lock()
	from := cf.reader.NextOffset()
	cf.mu.Unlock()
	inner, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	batch, err := cf.log.Read(inner, chestnutroad.StreamConfiguration, from, configReadWait)
	if err != nil {
		return err
	}
	cf.setAvailable(true)
	cf.mu.Lock()
	defer cf.mu.Unlock()
	for _, verdict := range cf.reader.ReadBatch(cf.now(), batch) {
		cf.logger.Info("configuration checked", "Publish", verdict.PublishID, "Version", verdict.Version,
			"Accepted", verdict.Accepted, "Reason", verdict.Reason)
	}
	cf.applyAccepted()
	return nil
}

func (cf *configuration) setAvailable(available bool) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.available = available
	if available {
		cf.lastRead = cf.now()
	}
}

// applyAccepted puts the highest accepted version in force, if it is newer. The caller holds the lock.
func (cf *configuration) applyAccepted() {
	accepted := cf.reader.InForce()
	if accepted.Version <= cf.inForce {
		return
	}
	effective, err := effectiveSettings(accepted.Body, cf.site)
	if err != nil {
		cf.logger.Error("failed to apply an accepted configuration", "Version", accepted.Version, "Error", err)
		return
	}
	cf.inForce = accepted.Version
	cf.reader.Configure(config.WithRetention(effective.Fleet.LogRetention))
	cf.apply(accepted.Version, cf.reader.NextOffset()-1, effective)
}

// effectiveSettings parses a configuration body and returns the settings in effect at the site.
func effectiveSettings(body []byte, site chestnutroad.SiteID) (*settings.Effective, error) {
	parsed, err := settings.ParseBody(body)
	if err != nil {
		return nil, err
	}
	effective, found := parsed.Effective(site)
	if !found {
		return nil, errors.Newf("the configuration has no site %q", site)
	}
	return effective, nil
}

// export returns the encoded state, for a host that can't read the log.
func (cf *configuration) export() ([]byte, error) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	state, found := cf.reader.Export()
	if !found {
		return nil, errors.New("no configuration state has been read yet")
	}
	return json.Marshal(state)
}

// importState replaces the state with a peer's, if that is newer, and puts its version in force.
func (cf *configuration) importState(data []byte) error {
	var state record.Snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode a peer's configuration state")
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.reader.Import(state) {
		cf.applyAccepted()
	}
	return nil
}

// configure applies the log retention of settings from files.
func (cf *configuration) configure(fleet settings.Fleet) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.reader.Configure(config.WithRetention(fleet.LogRetention))
}

// version returns the published version in force, or zero if there is none yet.
func (cf *configuration) version() chestnutroad.Version {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.inForce
}

// logAvailable reports whether the last read of the log succeeded, and the time of the last one that did.
func (cf *configuration) logAvailable() (bool, time.Time) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.available, cf.lastRead
}

// snapshot appends a snapshot of the configuration if one is due.
func (cf *configuration) snapshot(ctx context.Context) {
	cf.mu.Lock()
	var parts [][]byte
	if now := cf.now(); cf.reader.SnapshotDue(now) {
		parts = cf.reader.Snapshot(now)
	}
	cf.mu.Unlock()
	appendParts(ctx, cf.log, chestnutroad.StreamConfiguration, parts)
}

// appendParts appends the records of a snapshot in order. It stops at the first failure, since a snapshot with a missing
// part has no effect.
func appendParts(ctx context.Context, sink chestnutroad.Log, stream chestnutroad.Stream, parts [][]byte) {
	for _, part := range parts {
		inner, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := sink.Append(inner, stream, part)
		cancel()
		if err != nil {
			return
		}
	}
}
