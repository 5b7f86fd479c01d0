// Package config determines which version of a site's configuration is in force.
//
// Proposed configurations are records of a log. A record is accepted if and only if its parent is the version accepted last
// before it and its body is valid. Since the decision depends on the log alone, all readers accept the same records.
//
// The package does no I/O and reads no clock: records and the current time are arguments.
package config
