// Package cli implements the command line of chestnutroad. Each verb has its own file and an entry in verbTable.
package cli
