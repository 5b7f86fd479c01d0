package logging

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
)

// Fields stand on each line of a process's log.
type Fields struct {
	Host        chestnutroad.HostID
	Site        chestnutroad.SiteID
	DataCentre  chestnutroad.DataCentreID
	Incarnation chestnutroad.Incarnation
}

// The library takes these names from package variables; they are in Pascal case like all of the project's formats.
var nameKeys = sync.OnceFunc(func() {
	log.TimestampKey = "Time"
	log.LevelKey = "Level"
	log.MessageKey = "Message"
	log.CallerKey = "Caller"
	log.PrefixKey = "Package"
})

// New returns a logger that writes JSON lines of at least the level, one of debug, info, warn and error, in UTC.
func New(writer io.Writer, level string, fields Fields) (*log.Logger, error) {
	nameKeys()
	least, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(writer, log.Options{
		Level:           least,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	})
	return logger.With(
		"Host", fields.Host,
		"Site", fields.Site,
		"DataCentre", fields.DataCentre,
		"Incarnation", fields.Incarnation,
	), nil
}

// For returns the logger for one package.
func For(logger *log.Logger, name string) *log.Logger { return logger.WithPrefix(name) }
