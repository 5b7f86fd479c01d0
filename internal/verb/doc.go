// Package verb implements the verbs (subcommands) of the command line with the packages that do their work.
package verb
