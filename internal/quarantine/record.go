package quarantine

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// maxStoredSubjects limits the subjects of a record of the store.
const maxStoredSubjects = 32

// storedRecord is the JSON form of the evidence in a record of the store. Ages are as of the time at which it was written.
type storedRecord struct {
	// WrittenMS is the Unix time in milliseconds.
	WrittenMS int64
	Subjects  []storedSubject
}

// storedSubject is the evidence about a subject.
type storedSubject struct {
	Subject chestnutroad.SubjectHash
	// ServedAgeMS is the time since the subject was last served; omitted if it is not known that it was.
	ServedAgeMS int64 `json:",omitempty"`
	Crashes     []storedCrash
}

// storedCrash is the end of an incarnation of a target under a request with the subject.
type storedCrash struct {
	ID    chestnutroad.CrashID
	AgeMS int64
}

// Stored returns the evidence to keep in the store: that about the subjects with minCrashes crashes or more, those with the most crashes
// first. The evidence about a subject with fewer says little, and the crash of a target leaves much of it.
func (tr *Tracker) Stored(now time.Time) []chestnutroad.CrashEvidence {
	tr.expire(now)
	hashes := slices.Collect(maps.Keys(tr.subjects))
	hashes = slices.DeleteFunc(hashes, func(hash chestnutroad.SubjectHash) bool { return len(tr.subjects[hash].crashes) < minCrashes })
	tr.sortByCrashes(hashes)
	var items []chestnutroad.CrashEvidence
	for _, hash := range hashes[:min(len(hashes), maxStoredSubjects)] {
		sb := tr.subjects[hash]
		if !sb.servedAt.IsZero() {
			items = append(items, chestnutroad.CrashEvidence{Subject: hash, Age: now.Sub(sb.servedAt)})
		}
		for _, cr := range sb.crashes {
			items = append(items, chestnutroad.CrashEvidence{Subject: hash, Crash: cr.id, Age: now.Sub(cr.at)})
		}
	}
	return items
}

// Restore adds evidence that was read from the store. Other hosts are told of it at once, as they may have started at the same time.
func (tr *Tracker) Restore(now time.Time, items []chestnutroad.CrashEvidence) {
	tr.Merge(now, items)
	for _, item := range items {
		if sb := tr.subjects[item.Subject]; sb != nil {
			sb.repeatedAt = time.Time{}
		}
	}
}

// EncodeEvidence encodes evidence, as returned by Stored, as the value of a record of the store. The time is that of the host's clock.
func EncodeEvidence(now time.Time, items []chestnutroad.CrashEvidence) ([]byte, error) {
	record := storedRecord{WrittenMS: now.UnixMilli()}
	for _, item := range items {
		if last := len(record.Subjects) - 1; last < 0 || record.Subjects[last].Subject != item.Subject {
			record.Subjects = append(record.Subjects, storedSubject{Subject: item.Subject})
		}
		stored := &record.Subjects[len(record.Subjects)-1]
		if item.Crash == 0 {
			stored.ServedAgeMS = item.Age.Milliseconds()
			continue
		}
		stored.Crashes = append(stored.Crashes, storedCrash{ID: item.Crash, AgeMS: item.Age.Milliseconds()})
	}
	data, err := json.Marshal(record)
	return data, errors.Wrap(err, "encode crash evidence")
}

// maxClockSkew is the largest difference between the clocks of two hosts that is taken for one. It is longer than clocks jump.
const maxClockSkew = 30 * time.Second

// DecodeEvidence decodes the value of a record of the store. Hosts' clocks differ: a record that seems to be written up to maxClockSkew later
// than now counts as written now.
func DecodeEvidence(now time.Time, data []byte) ([]chestnutroad.CrashEvidence, error) {
	var record storedRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "decode crash evidence")
	}
	since := now.Sub(time.UnixMilli(record.WrittenMS))
	if since < -maxClockSkew {
		return nil, errors.Newf("crash evidence was written %s later than now", -since)
	}
	since = max(0, since)
	var items []chestnutroad.CrashEvidence
	for _, stored := range record.Subjects {
		if stored.ServedAgeMS > 0 {
			items = append(items, chestnutroad.CrashEvidence{Subject: stored.Subject, Age: since + time.Duration(stored.ServedAgeMS)*time.Millisecond})
		}
		for _, cr := range stored.Crashes {
			items = append(items, chestnutroad.CrashEvidence{
				Subject: stored.Subject, Crash: cr.ID, Age: since + time.Duration(max(0, cr.AgeMS))*time.Millisecond,
			})
		}
	}
	return items, nil
}
