// Package replay replays a trace through a routing policy in virtual time and measures the result.
//
// The decisions are made by the code of internal/pool, internal/member and internal/order that also runs in production.
// Engines, plain services, the platform's log and the network are small fakes.
package replay
