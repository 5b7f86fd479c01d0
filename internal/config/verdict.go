package config

import (
	"fmt"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Reason is the reason why a proposed configuration was refused.
type Reason string

// The reasons for a refusal. An accepted configuration has ReasonNone.
const (
	ReasonNone Reason = ""
	// ReasonParent means that the parent is not the version in force.
	ReasonParent Reason = "Parent"
	// ReasonVersion means that the proposed version is not the one after the version in force.
	ReasonVersion Reason = "Version"
	// ReasonBody means that the body is not a valid configuration.
	ReasonBody Reason = "Body"
	// ReasonNotReady means that the publishing host has not read the configuration stream.
	ReasonNotReady Reason = "NotReady"
	// ReasonLog means that the log did not add the record.
	ReasonLog Reason = "Log"
)

// Verdict is the decision on a proposed configuration, which is the same for all readers.
type Verdict struct {
	Offset    chestnutroad.Offset
	PublishID record.PublishID
	// Version is the version that the record proposes.
	Version chestnutroad.Version
	// InForce is the version in force after the record.
	InForce  chestnutroad.Version
	Accepted bool
	Reason   Reason
	// Message describes why the record was refused.
	Message string
}

// Check returns an error if a body is not a valid configuration. The result must depend on the body alone, since all readers
// must agree.
type Check func(body []byte) error

// validate returns the reason to refuse a proposal while the given version is in force, or ReasonNone.
func validate(proposal *record.Config, inForce chestnutroad.Version, check Check) (Reason, string) {
	if proposal.Parent != inForce {
		return ReasonParent, fmt.Sprintf("the parent is version %d, but version %d is in force", proposal.Parent, inForce)
	}
	if proposal.Version != inForce+1 {
		return ReasonVersion, fmt.Sprintf("the proposed version is %d instead of %d", proposal.Version, inForce+1)
	}
	if err := check(proposal.Body); err != nil {
		return ReasonBody, err.Error()
	}
	return ReasonNone, ""
}
