// Package baseline has simple routing policies to which a replay compares the shard owner's decisions.
//
// All but Owner start every request at once: they have no load bound, no queue and no shares. Those that a real router
// would run on every entry host see only the requests that pass through that host, and late reports.
package baseline
