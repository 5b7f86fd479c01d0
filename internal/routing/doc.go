// Package routing looks up the routing rule, the service and the team of a request in a configuration.
package routing
