// Package operator serves the operators' port of a host: metrics, health, readiness, status and, if the settings allow it,
// profiles.
package operator
