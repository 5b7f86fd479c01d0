// Package verb connects the command line to the packages that do the work of its verbs.
package verb
