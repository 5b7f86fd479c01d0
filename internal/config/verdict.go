package config

import (
	"fmt"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Reason says why a proposed configuration was refused.
type Reason string

// The reasons; an accepted configuration has none.
const (
	ReasonNone     Reason = ""
	ReasonParent   Reason = "Parent"
	ReasonVersion  Reason = "Version"
	ReasonBody     Reason = "Body"
	ReasonNotReady Reason = "NotReady"
	ReasonLog      Reason = "Log"
)

// Verdict is what every reader decides on one record of the configuration stream.
type Verdict struct {
	Offset    chestnutroad.Offset
	PublishID record.PublishID
	// Version is the version that the record proposes.
	Version chestnutroad.Version
	// InForce is the version that is in force after the record.
	InForce  chestnutroad.Version
	Accepted bool
	Reason   Reason
	// Message says in words why the record was refused.
	Message string
}

// Check returns why a body can't be put in force. It must depend on the body alone, since readers must agree.
type Check func(body []byte) error

// validate decides on a proposal while the given version is in force.
func validate(proposal *record.Config, inForce chestnutroad.Version, check Check) (Reason, string) {
	if proposal.Parent != inForce {
		return ReasonParent, fmt.Sprintf("the parent is version %d, but version %d is in force", proposal.Parent, inForce)
	}
	if proposal.Version != inForce+1 {
		return ReasonVersion, fmt.Sprintf("the version is %d instead of %d", proposal.Version, inForce+1)
	}
	if err := check(proposal.Body); err != nil {
		return ReasonBody, err.Error()
	}
	return ReasonNone, ""
}
