// Package settings reads the TOML files of an installation: one base file, and one overlay per site that states only what
// differs.
//
// A file is checked on its own and then merged with the base. Every fault is reported with file, line and key, all of them
// at once, and nothing is applied when there is one. The process settings of a host are a separate file, read by LoadHost.
package settings
