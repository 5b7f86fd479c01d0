// Package cost measures the memory, processor time and dropped log lines of an entry host that runs as a separate process.
package cost
