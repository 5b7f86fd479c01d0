// Package logging sets up the process log: JSON lines with the same fields on each.
package logging
