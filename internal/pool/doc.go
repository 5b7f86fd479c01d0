// Package pool decides on which target of a shard each request runs. It covers the load bound, placement, queues, fair
// shares and slow start.
//
// The package does no input or output: the time is an argument, and decisions are returned as actions that the host
// carries out in order. An Owner books work when it decides, so that its accounting is exact at each instant.
//
//   - Load is the work of the requests that run on a target, each counted in full until it ends, plus the work of other
//     owners according to the target's reports.
//   - Admission: load + work <= max(M * (T + work) / n, LoadFloor) with M = 1 + Headroom * (Multiple - 1), T the total load
//     and n the number of the targets that the owner can reach, in the pool's other shards too. An empty target, and
//     without a floor one at or below the mean T / n, admits a request of any size, so that no request starves.
//   - Moves: a target above the multiple of the mean and the floor, and above the mean even without its largest request,
//     gives up its youngest resumable streams until it is within the bound or until no stream fits elsewhere.
//   - Placement: the target in the placement table; otherwise the first in rendezvous order at or below the mean, then the
//     first admissible one; otherwise another shard. Calls without a chat go to the least loaded target.
//   - Queues: strict precedence between priorities, start-time fair queueing by team inside each. A full queue refuses
//     the newest request of the team with the most waiting requests for its weight.
//
// Package baseline has simpler policies for comparison.
package pool
