// Package record defines the formats of the records that the system stores in the platform's log, and the reader that
// derives a state from them, starting from a snapshot when the first records have expired.
package record
