package cli

import "github.com/cockroachdb/errors"

// errNotBuiltIn ends a verb whose function is not set.
var errNotBuiltIn = Exit(CodeUnavailable, errors.New("not built in: this build has no implementation of the verb"))
