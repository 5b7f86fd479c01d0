package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Accepted is a configuration that was accepted.
type Accepted struct {
	Version   chestnutroad.Version
	PublishID record.PublishID
	Body      []byte
}

// state is what the configuration stream says; it depends on the records alone.
type state struct {
	check    Check
	last     Accepted
	verdicts []Verdict
}

// Reset empties the state.
func (st *state) Reset() { st.last = Accepted{} }

// Payload returns the last accepted configuration.
func (st *state) Payload() []byte {
	data, err := json.Marshal(st.last)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode configuration %d", st.last.Version))
	}
	return data
}

// Load replaces the state by the one in the payload.
func (st *state) Load(payload []byte) error {
	var last Accepted
	if err := json.Unmarshal(payload, &last); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	st.last = last
	return nil
}

// Apply takes the next record of the log.
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

func (st *state) decide(offset chestnutroad.Offset, proposal *record.Config) Verdict {
	reason, message := judge(proposal, st.last.Version, st.check)
	if reason == ReasonNone {
		st.last = Accepted{Version: proposal.Version, PublishID: proposal.PublishID, Body: proposal.Body}
	}
	return Verdict{
		Offset: offset, PublishID: proposal.PublishID, Version: proposal.Version, InForce: st.last.Version,
		Accepted: reason == ReasonNone, Reason: reason, Message: message,
	}
}

func (st *state) takeVerdicts() []Verdict {
	verdicts := st.verdicts
	st.verdicts = nil
	return verdicts
}
