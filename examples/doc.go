// Package examples holds the settings of the two example sites.
package examples
