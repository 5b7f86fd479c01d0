// Package publish lets operators publish configurations to the platform's log and list those in it, without a running host.
package publish
