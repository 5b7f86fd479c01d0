package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
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
	if !sv.entry.link.relaying() {
		sv.unsure.Store(true)
		return
	}
	if !sv.entry.state.targetsLoaded.Load() || sv.entry.elapsed() < sv.retryAt {
		return
	}
	err := sv.updateVersions(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	if errors.Is(err, chestnutroad.ErrConflict) {
		sv.entry.logger.Debug("another relay has updated the software versions in use")
		return
	}
	sv.entry.logger.Warn("software versions in use were not updated", "Error", err)
	sv.retryAt = sv.entry.elapsed() + versionsRetry
}

// readVersionSets reads the versions in use that the store holds.
func (sv *streamVersions) readVersionSets(ctx context.Context, progress func()) error {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	batch, err := sv.entry.store.Newest(ctx, chestnutroad.KeyedVersions, chestnutroad.PageOptions{})
	progress()
	if err != nil {
		return err
	}
	if sv.entry.eras.observe(batch.Next.Era) {
		return errors.Wrapf(errEarlierEra, "era %d", batch.Next.Era)
	}
	sets := make(map[chestnutroad.ServiceID]resumption.VersionSet, len(batch.Records))
	for _, record := range batch.Records {
		set, err := resumption.DecodeVersionSet(record.Value)
		if err != nil {
			sv.entry.logger.Error("versions in use can't be read", "Service", record.Key, "Error", err)
			return err
		}
		sets[chestnutroad.ServiceID(record.Key)] = set
	}
	sv.setVersions(batch.Next, sets)
	return nil
}

// setVersions records the versions in use that the store held at a position.
func (sv *streamVersions) setVersions(at chestnutroad.Position, sets map[chestnutroad.ServiceID]resumption.VersionSet) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.tracker.SetVersions(sv.entry.elapsed(), at, sets)
}

// updateVersions writes the sets of versions that differ from those in the store. Each write depends on that no other host has written since
// the sets were read.
func (sv *streamVersions) updateVersions(ctx context.Context) error {
	sv.versionsMu.Lock()
	defer sv.versionsMu.Unlock()
	sv.mu.Lock()
	at, _, known := sv.tracker.Versions()
	sv.mu.Unlock()
	if !known || at.Era != sv.entry.eras.current() || sv.unsure.Load() {
		if err := sv.readVersionSets(ctx, func() {}); err != nil {
			return err
		}
		sv.unsure.Store(false)
	}
	for _, service := range sv.entry.state.serviceIDs() {
		if err := sv.updateService(ctx, service); err != nil {
			sv.unsure.Store(true)
			return err
		}
	}
	return nil
}

// updateService writes the versions in use of a service if they differ from those in the store.
func (sv *streamVersions) updateService(ctx context.Context, service chestnutroad.ServiceID) error {
	sv.mu.Lock()
	at, sets, _ := sv.tracker.Versions()
	next, joined, changed := sv.tracker.PlanVersions(sv.entry.elapsed(), service)
	sv.mu.Unlock()
	if !changed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	if len(joined) > 0 {
		offset, err := sv.appendMarker(ctx)
		if err != nil {
			return err
		}
		for _, version := range joined {
			next.Versions[version] = resumption.VersionUse{State: resumption.Logged, LoggedFrom: offset}
		}
	}
	value, err := resumption.EncodeVersionSet(&next)
	if err != nil {
		return err
	}
	if len(next.Versions) == 0 {
		value = nil
	}
	end, err := sv.entry.store.PutAt(ctx, chestnutroad.KeyedVersions, string(service), value, at)
	if err != nil {
		return err
	}
	sets = maps.Clone(sets)
	sets[service] = next
	if len(next.Versions) == 0 {
		delete(sets, service)
	}
	sv.setVersions(end, sets)
	sv.entry.logger.Info("software versions in use written", "Service", service, "Versions", next.Versions, "Joined", joined, "Position", end)
	return nil
}

// appendMarker appends a record without starts to the log and returns its offset: streams that begin later are after it.
func (sv *streamVersions) appendMarker(ctx context.Context) (chestnutroad.Offset, error) {
	if sv.log == nil {
		return 0, errNoLog
	}
	data, err := resumption.EncodeStarts(nil)
	if err != nil {
		return 0, err
	}
	return sv.log.Append(ctx, chestnutroad.StreamStarts, data)
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
	return sv.readVersionSets(ctx, func() {})
}

// possibleVersions returns the versions at which a stream of the service may have begun that neither the log nor the hosts that were asked
// know. The list of targets and the log were read after the request for the stream.
func (sv *streamVersions) possibleVersions(ctx context.Context, service chestnutroad.ServiceID) []chestnutroad.SoftwareVersion {
	sv.mu.Lock()
	recent := sv.tracker.Recent(sv.entry.elapsed(), service)
	sv.mu.Unlock()
	if len(recent) > 1 {
		if err := sv.sets.await(ctx); err != nil {
			sv.entry.logger.Debug("versions in use were not read", "Service", service, "Error", err)
			return slices.Sorted(maps.Keys(recent))
		}
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	versions := sv.tracker.PossibleVersions(sv.entry.elapsed(), service, sv.logRead)
	at, sets, _ := sv.tracker.Versions()
	sv.entry.logger.Debug("versions of a stream that is not in the log", "Service", service, "Listed", slices.Sorted(maps.Keys(recent)),
		"Held", sets[service], "Position", at, "LogRead", sv.logRead, "Possible", versions)
	return versions
}

// learnVersions records the versions in use according to another host's answer.
func (sv *streamVersions) learnVersions(answer *siblings.State) {
	if answer.VersionsInUse != nil {
		sv.setVersions(answer.VersionsInUse.Position, answer.VersionsInUse.Sets)
	}
}

// addVersions adds the versions in use to the answer to another host.
func (sv *streamVersions) addVersions(answer *siblings.State) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if at, sets, known := sv.tracker.Versions(); known {
		answer.VersionsInUse = &siblings.VersionsInUse{Position: at, Sets: sets}
	}
}
