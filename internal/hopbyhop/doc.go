// Package hopbyhop removes the headers that apply to a single connection and must not be forwarded.
package hopbyhop
