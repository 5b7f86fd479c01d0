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

// configuration follows the configuration stream and puts accepted versions in force.
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

// CheckBody reports why a configuration body can't be put in force.
func CheckBody(body []byte) error {
	_, err := settings.ParseBody(body)
	return err
}

// follow reads the stream until the context ends.
func (cf *configuration) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := cf.read(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			cf.setAvailable(false)
			cf.logger.Warn("the configuration stream can't be read", "Error", err)
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
		cf.logger.Info("configuration judged", "Publish", verdict.PublishID, "Version", verdict.Version,
			"Accepted", verdict.Accepted, "Reason", verdict.Reason)
	}
	cf.advance()
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

// advance puts the highest accepted version in force. The caller holds the lock.
func (cf *configuration) advance() {
	accepted := cf.reader.InForce()
	if accepted.Version <= cf.inForce {
		return
	}
	effective, err := effectiveOf(accepted.Body, cf.site)
	if err != nil {
		cf.logger.Error("an accepted configuration can't be applied", "Version", accepted.Version, "Error", err)
		return
	}
	cf.inForce = accepted.Version
	cf.reader.Configure(config.WithRetention(effective.Fleet.LogRetention))
	cf.apply(accepted.Version, cf.reader.NextOffset()-1, effective)
}

func effectiveOf(body []byte, site chestnutroad.SiteID) (*settings.Effective, error) {
	parsed, err := settings.ParseBody(body)
	if err != nil {
		return nil, err
	}
	effective, known := parsed.Effective(site)
	if !known {
		return nil, errors.Newf("the configuration has no site %s", site)
	}
	return effective, nil
}

// export returns the state for a host that can't read the log.
func (cf *configuration) export() ([]byte, error) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	state, known := cf.reader.Export()
	if !known {
		return nil, errors.New("no configuration state is known yet")
	}
	return json.Marshal(state)
}

// takeOver adopts a peer's state if it is further than the own one.
func (cf *configuration) takeOver(data []byte) error {
	var state record.Snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode a peer's configuration state")
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.reader.Import(state) {
		cf.advance()
	}
	return nil
}

// configure applies the constants of settings that were not published.
func (cf *configuration) configure(fleet settings.Fleet) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.reader.Configure(config.WithRetention(fleet.LogRetention))
}

// version returns the version in force; zero means that none was read.
func (cf *configuration) version() chestnutroad.Version {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.inForce
}

// logAvailable reports whether the last read of the log succeeded, and when the last successful one was.
func (cf *configuration) logAvailable() (bool, time.Time) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.available, cf.lastRead
}

// snapshot appends a snapshot when one is due.
func (cf *configuration) snapshot(ctx context.Context) {
	cf.mu.Lock()
	var parts [][]byte
	if now := cf.now(); cf.reader.SnapshotDue(now) {
		parts = cf.reader.Snapshot(now)
	}
	cf.mu.Unlock()
	appendParts(ctx, cf.log, chestnutroad.StreamConfiguration, parts)
}

// appendParts appends the records of a snapshot in order; a snapshot of which a part is missing has no effect.
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
