// Package evacuation tracks which data centres the operator has evacuated, as one host knows it from the store and from other hosts.
//
// A list is valid as of a position of the operators' stream, and the list with the later position replaces the other one. The
// package does no input or output and never reads the clock.
package evacuation
