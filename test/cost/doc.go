// Package cost measures what an entry host costs as a process of its own: memory, processor time and log lines.
package cost
