// Package operating runs every command of docs/operating.md.
package operating
