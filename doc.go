// Package chestnutroad defines the ids, units, error kinds and interfaces that the packages of the router fleet share.
package chestnutroad
