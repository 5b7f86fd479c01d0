// Package record holds the formats of the records that the system keeps in the platform's log, and the rule by which a
// reader that starts empty finds a base for its state.
package record
