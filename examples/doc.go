// Package examples embeds the settings files of the two example sites.
package examples
