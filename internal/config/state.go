package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Accepted is a configuration that is or has been in force, with its version and the id of its publish.
type Accepted struct {
	Version   chestnutroad.Version
	PublishID record.PublishID
	Body      []byte
}

// maxRecent is the number of accepted versions whose publish ids the state retains. It is not configurable, since all readers
// must derive the same state.
const maxRecent = 64

// publishedVersion is an accepted version and the id of its publish.
type publishedVersion struct {
	Version   chestnutroad.Version
	PublishID record.PublishID
}

// storedState is the payload of a ConfigSnapshot record.
type storedState struct {
	Accepted
	Recent []publishedVersion
}

// state is the state derived from the configuration stream. It depends on the records alone.
type state struct {
	check    Check
	last     Accepted
	recent   []publishedVersion
	verdicts []Verdict
	// ignoreParent accepts proposals with any parent and version. It is set only by tests.
	ignoreParent bool
}

// Reset clears the state.
func (st *state) Reset() {
	st.last = Accepted{}
	st.recent = nil
}

// Payload encodes the state for a snapshot.
func (st *state) Payload() []byte {
	data, err := json.Marshal(storedState{Accepted: st.last, Recent: st.recent})
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode configuration %d", st.last.Version))
	}
	return data
}

// Load replaces the state by that of a snapshot.
func (st *state) Load(payload []byte) error {
	var stored storedState
	if err := json.Unmarshal(payload, &stored); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	st.last = stored.Accepted
	st.recent = stored.Recent
	return nil
}

// Apply applies the next record of the stream. Records other than proposed configurations are ignored.
func (st *state) Apply(rec chestnutroad.Record) {
	if record.TypeOf(rec.Data) != record.TypeConfig {
		return
	}
	proposal, err := record.DecodeConfig(rec.Data)
	if err != nil {
		return
	}
	st.verdicts = append(st.verdicts, st.decide(rec.Offset, &proposal))
}

// decide accepts or refuses a proposal, and makes an accepted one the last configuration.
func (st *state) decide(offset chestnutroad.Offset, proposal *record.Config) Verdict {
	if st.ignoreParent {
		proposal.Parent = st.last.Version
		proposal.Version = st.last.Version + 1
	}
	reason, message := validate(proposal, st.last.Version, st.check)
	if reason == ReasonNone {
		st.last = Accepted{Version: proposal.Version, PublishID: proposal.PublishID, Body: proposal.Body}
		st.addRecent(publishedVersion{Version: proposal.Version, PublishID: proposal.PublishID})
	}
	return Verdict{
		Offset: offset, PublishID: proposal.PublishID, Version: proposal.Version, InForce: st.last.Version,
		Accepted: reason == ReasonNone, Reason: reason, Message: message,
	}
}

func (st *state) addRecent(published publishedVersion) {
	st.recent = append(st.recent, published)
	st.recent = st.recent[max(0, len(st.recent)-maxRecent):]
}

// publishID returns the publish id of an accepted version, or false if the version is not among the latest ones.
func (st *state) publishID(version chestnutroad.Version) (record.PublishID, bool) {
	for _, published := range st.recent {
		if published.Version == version {
			return published.PublishID, true
		}
	}
	return "", false
}

// takeVerdicts returns the verdicts since the last call.
func (st *state) takeVerdicts() []Verdict {
	verdicts := st.verdicts
	st.verdicts = nil
	return verdicts
}
