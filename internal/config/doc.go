// Package config decides which version of a site's configuration is in force.
//
// Every reader judges each proposed configuration by the log alone: a record is accepted if and only if its parent is
// the version accepted before it and its body is valid. All readers therefore reach the same verdicts.
//
// The package is pure: the time is an argument.
package config
