package cli

import "github.com/cockroachdb/errors"

// errNotImplemented is the error of a verb whose function no option has set.
var errNotImplemented = Exit(CodeUnavailable, errors.New("not built in: this build has no implementation of the verb"))
