// Package baseline has simple routing policies with which a replay compares the shard owner's decisions.
//
// Each starts every request at once: none has a load bound, a queue or shares. Those that a real router would run on
// every entry host know only the requests that pass through them and late reports.
package baseline
