// Package logging sets up the log of a process: JSON lines, each with the fields that identify the process.
package logging
