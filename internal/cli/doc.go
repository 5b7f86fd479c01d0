// Package cli implements the verbs of the chestnutroad command, one file each, listed in one table.
package cli
