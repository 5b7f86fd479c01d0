package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/config"
	"github.com/chestnutroad/chestnutroad/internal/record"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

func measureConfiguration(uint64) ([]Series, error) {
	teams := []int{18, 180, 1_800}
	bodies := map[int][]byte{}
	for _, count := range teams {
		body, err := configurationBody(count)
		if err != nil {
			return nil, err
		}
		bodies[count] = body
	}
	recordOf := func(count, version int) chestnutroad.Record {
		return configurationRecord(bodies[count], version)
	}
	return []Series{
		measureSeries("configuration record in the log", "bytes", "teams", teams, func(count int) float64 {
			return float64(len(recordOf(count, 1).Data))
		}),
		measureSeries("configuration in memory", "bytes/team", "teams", teams, func(count int) float64 {
			// The first call fills caches, which are not part of the configuration's memory.
			effectiveSettings(bodies[count])
			return heapBytesPerItem(count, func() any { return effectiveSettings(bodies[count]) })
		}),
		measureSeries("configuration record, read, judged and applied", "us/record", "teams", teams, func(count int) float64 {
			return timePerVersion(func(version int) chestnutroad.Record { return recordOf(count, version) })
		}),
		measureSeries("remembered versions, 180 teams", "bytes in all", "versions read", []int{4, 16, 64}, func(versions int) float64 {
			return bytesOfRetainedVersions(versions, func(version int) chestnutroad.Record { return recordOf(180, version) })
		}),
	}, nil
}

// configurationBody returns the settings of a site with 7 data centres, 35 models and the given number of teams.
func configurationBody(teams int) ([]byte, error) {
	var text strings.Builder
	text.WriteString("[Sites.site]\nDataCentres = [")
	for index := range 7 {
		fmt.Fprintf(&text, "%q, ", fmt.Sprintf("centre-%d", index))
	}
	text.WriteString("]\n")
	for index := range 35 {
		fmt.Fprintf(&text, "[Services.model-%d]\nKind = \"Engine\"\nModel = \"model-%d\"\n", index, index)
	}
	for index := range teams {
		fmt.Fprintf(&text, "[Teams.team-%d]\nOwner = \"Owner %d\"\nTokenHashes = [%q]\nServices = [\"model-%d\"]\n",
			index, index, settings.HashToken(fmt.Sprint("token-", index)).String(), index%35)
	}
	body, err := settings.MarshalBody([]settings.File{{Name: "base.toml", Text: text.String()}})
	if err != nil {
		return nil, errors.Wrap(err, "encode a configuration body")
	}
	if _, err := settings.ParseBody(body); err != nil {
		return nil, errors.Wrap(err, "check a configuration body")
	}
	return body, nil
}

// configurationRecord returns the log record that publishes the body as the version.
func configurationRecord(body []byte, version int) chestnutroad.Record {
	return chestnutroad.Record{
		Offset: chestnutroad.Offset(version - 1), Appended: startTime,
		Data: record.EncodeConfig(record.Config{
			Type: record.TypeConfig, PublishID: record.PublishID(fmt.Sprint("publish-", version)),
			Parent: chestnutroad.Version(version - 1), Version: chestnutroad.Version(version), Body: body,
		}),
	}
}

// effectiveSettings parses the body and returns the effective settings of its site, or nil for an invalid body.
func effectiveSettings(body []byte) *settings.Effective {
	parsed, err := settings.ParseBody(body)
	if err != nil {
		return nil
	}
	effective, _ := parsed.Effective("site")
	return effective
}

func checkBody(body []byte) error {
	_, err := settings.ParseBody(body)
	return err
}

func readVersion(rd *config.Reader, next chestnutroad.Record) {
	rd.ReadBatch(startTime, chestnutroad.Batch{Next: next.Offset + 1, Records: []chestnutroad.Record{next}})
}

// timePerVersion returns the mean microseconds to read, check and apply a version.
func timePerVersion(recordOf func(version int) chestnutroad.Record) float64 {
	const versions = 10
	rd := config.NewReader(record.Writer{}, checkBody)
	var elapsed time.Duration
	for version := 1; version <= versions; version++ {
		next := recordOf(version)
		started := time.Now()
		readVersion(rd, next)
		effectiveSettings(rd.InForce().Body)
		elapsed += time.Since(started)
	}
	return float64(elapsed.Microseconds()) / versions
}

// bytesOfRetainedVersions returns the heap bytes of a reader that has read the number of versions.
func bytesOfRetainedVersions(versions int, recordOf func(version int) chestnutroad.Record) float64 {
	return heapBytesPerItem(1, func() any {
		rd := config.NewReader(record.Writer{}, checkBody)
		for version := 1; version <= versions; version++ {
			readVersion(rd, recordOf(version))
		}
		return rd
	})
}
