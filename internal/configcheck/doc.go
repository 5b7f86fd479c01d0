// Package configcheck finds faults and contradictions in the platform's configuration, and what differs from the version in force.
package configcheck
