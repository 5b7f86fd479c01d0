package logging

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
)

// Fields holds the values that identify a process on each line of its log.
type Fields struct {
	Host        chestnutroad.HostID
	Site        chestnutroad.SiteID
	DataCentre  chestnutroad.DataCentreID
	Incarnation chestnutroad.Incarnation
}

// setKeyNames sets the names of the library's own fields, which are package variables, to Pascal case as in all formats of the
// project.
var setKeyNames = sync.OnceFunc(func() {
	log.TimestampKey = "Time"
	log.LevelKey = "Level"
	log.MessageKey = "Message"
	log.CallerKey = "Caller"
	log.PrefixKey = "Package"
})

// New returns a logger that writes the lines of at least the level (debug, info, warn or error) as JSON, with times in UTC.
func New(writer io.Writer, level string, fields Fields) (*log.Logger, error) {
	setKeyNames()
	minLevel, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(writer, log.Options{
		Level:           minLevel,
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

// For returns a logger that adds the name of a package to each line.
func For(logger *log.Logger, name string) *log.Logger { return logger.WithPrefix(name) }
