// Package quarantine decides which prompt parts and requests are suspected of crashing the targets that answer them. It has no
// network and no clock of its own.
package quarantine
