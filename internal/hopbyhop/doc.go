// Package hopbyhop knows the headers that concern one connection only.
package hopbyhop
