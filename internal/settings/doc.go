// Package settings reads the TOML files of an installation: one base file, and for each site an optional overlay that sets
// only what differs there.
//
// Each file is checked on its own and then merged with the base. All errors are reported at once, each with file, line and
// key, and no settings are returned if there is any. The process settings of a host are a separate file, which LoadHost or
// LoadEntry reads.
package settings
