// Package pool decides which target of a shard runs which request: load bound, placement, queues, shares and slow start.
//
// The package is pure: the time is an argument, and decisions come back as actions, which the host carries out in order.
// An Owner books work when it decides, so that its book is exact at each instant.
//
//   - Load is the work of the requests that run on a target, each counted in full until it ends, plus the work of other
//     owners that the target's reports show.
//   - Admission: load + work <= max(Multiple * (T + work) / n, LoadFloor), or the target is at or below the mean T / n.
//     The second case admits one request of any size, so that no request starves.
//   - Departures: a target above the multiple of the mean and the floor, and above the mean even without its largest
//     request, gives up its youngest resumable streams until it is not, or until no stream fits elsewhere.
//   - Placement: the target that the table names; otherwise the first in rendezvous order at or below the mean, then the
//     first admissible one; otherwise another shard. Calls without a chat go to the least loaded target.
//   - Queues: strict precedence between priorities, start-time fair queueing by team inside each. A full queue refuses
//     the newest request of the team that waits with most for its weight.
//
// Package baseline has simpler policies for comparison.
package pool
