// Package policy turns the settings of a service into the options of its shards' owners.
package policy
