// Package routing finds the rule, the service and the team of a request in a configuration.
package routing
