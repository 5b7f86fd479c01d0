// Package replay puts a trace through the decision packages in virtual time and measures what they decide.
//
// The decisions are those of internal/pool, internal/member and internal/order; engines, plain services, the log and
// the network are small fakes at the interfaces.
package replay
