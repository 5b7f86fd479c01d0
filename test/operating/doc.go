// Package operating runs the shell commands of docs/operating.md and docs/OPERATIONS.md and checks their output.
package operating
