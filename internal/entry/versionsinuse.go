package entry

import (
	"context"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

const (
	// versionsTimeout limits a call of the store for the versions in use.
	versionsTimeout = time.Second
	// versionsRetry is the pause after a failed update of the versions in use.
	versionsRetry = time.Second
)

// maintainVersions updates the versions in use in the store if this host is a relay. A host that becomes relay again reads them anew, since
// another one may have changed them.
func (sv *streamVersions) maintainVersions(ctx context.Context) {
	switch {
	case !sv.entry.link.relaying():
		sv.written = nil
	case sv.entry.state.targetsLoaded.Load() && sv.entry.elapsed() >= sv.retryAt:
		if err := sv.updateVersions(ctx); err != nil && ctx.Err() == nil {
			sv.retryAt = sv.entry.elapsed() + versionsRetry
			sv.entry.logger.Warn("software versions in use were not updated", "Error", err)
		}
	}
}

// versionKey is the key of a version in use in the store.
func versionKey(service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) string {
	return string(service) + "/" + string(version)
}

// readInUse returns the keys of the versions in use that the store holds.
func (sv *streamVersions) readInUse(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	batch, err := sv.entry.store.Newest(ctx, chestnutroad.KeyedVersions, chestnutroad.PageOptions{})
	if err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(batch.Records))
	for _, record := range batch.Records {
		keys = append(keys, record.Key)
	}
	return keys, nil
}

// updateVersions writes versions that are new in a service, and deletes those that have not been listed for as long as streams last.
func (sv *streamVersions) updateVersions(ctx context.Context) error {
	if eras := sv.entry.eras.count(); sv.written == nil || sv.eras != eras {
		keys, err := sv.readInUse(ctx)
		if err != nil {
			return err
		}
		sv.inherit(keys)
		sv.written, sv.eras = map[string]bool{}, eras
		for _, key := range keys {
			sv.written[key] = true
		}
	}
	inUse := map[string]bool{}
	for _, service := range sv.entry.state.serviceIDs() {
		sv.mu.Lock()
		for version := range sv.tracker.Recent(sv.entry.elapsed(), service) {
			inUse[versionKey(service, version)] = true
		}
		sv.mu.Unlock()
	}
	for key := range inUse {
		if !sv.written[key] {
			if err := sv.put(ctx, key, []byte("InUse")); err != nil {
				return err
			}
			sv.written[key] = true
		}
	}
	for key := range sv.written {
		if !inUse[key] && sv.entry.elapsed() >= resumption.Lifetime {
			if err := sv.put(ctx, key, nil); err != nil {
				return err
			}
			delete(sv.written, key)
		}
	}
	return nil
}

func (sv *streamVersions) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	return sv.entry.store.Put(ctx, chestnutroad.KeyedVersions, key, value)
}

// inherit records the versions in use that the store held.
func (sv *streamVersions) inherit(keys []string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, key := range keys {
		// A version may contain slashes, a service may not: the configuration names it.
		service, version, _ := strings.Cut(key, "/")
		sv.tracker.Inherit(chestnutroad.ServiceID(service), chestnutroad.SoftwareVersion(version))
	}
	sv.tracker.CompleteInherited()
}

// loadInherited reads the versions that were in use before this host started, unless they are known or no longer matter.
func (sv *streamVersions) loadInherited(ctx context.Context) error {
	sv.versionsMu.Lock()
	defer sv.versionsMu.Unlock()
	sv.mu.Lock()
	known := sv.tracker.KnowsVersions(sv.entry.elapsed())
	sv.mu.Unlock()
	if known {
		return nil
	}
	keys, err := sv.readInUse(ctx)
	if err == nil {
		sv.inherit(keys)
	}
	return err
}
