package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// startTime is the time at which all simulations start.
var startTime = time.UnixMilli(1_800_000_000_000)

// shard is the shard that the measured owners own.
var shard = chestnutroad.ShardID{
	Pool: chestnutroad.PoolID{Site: "site", Service: "assistant-00"}, DataCentre: "centre-0",
}

func measurePool(seed uint64) ([]Series, error) {
	targets := []int{10, 100, 600}
	return []Series{
		measureSeries("placement table", "bytes/chat", "chats", []int{10_000, 200_000, 1_000_000}, bytesPerChat),
		measureSeries("hand-over of a shard", "bytes/chat", "chats", []int{10_000, 50_000, 200_000}, handoverBytesPerChat),
		measureSeries("shard owner, target list and reports", "bytes/target", "targets", []int{100, 1_000, 10_000}, bytesPerTarget),
		measureSeries("shard owner, queues of teams", "bytes/team", "teams", []int{180, 1_800, 18_000}, bytesPerTeam),
		measureSeries("request, Submit and Finish", "us/request", "targets of the shard", targets, func(size int) float64 {
			return timePerRequest(seed, size, 1)
		}),
		measureSeries("request, Submit and Finish, 100 targets", "us/request", "teams", []int{18, 180, 1_800}, func(size int) float64 {
			return timePerRequest(seed, 100, size)
		}),
		measureSeries("load report", "us/report", "targets of the shard", targets, timePerReport),
		measureSeries("ranking of a pool at the entry host", "us/request", "targets of the pool", []int{17, 100, 600}, timePerRanking),
	}, nil
}

// newOwner returns an owner of shard with the number of targets.
func newOwner(targets int, opts ...pool.Option) *pool.Owner {
	ow := pool.New(shard, opts...)
	listed := make([]pool.Target, targets)
	for index := range listed {
		listed[index].ID = targetID(index)
	}
	ow.SetTargets(startTime, listed)
	return ow
}

func targetID(index int) chestnutroad.TargetID {
	return chestnutroad.TargetID(fmt.Sprintf("engine-%d", index))
}

func bytesPerChat(chats int) float64 {
	ow := newOwner(1, pool.TableLimit(chats))
	return heapBytesPerItem(chats, func() any {
		fillPlacementTable(ow, chats)
		return ow
	})
}

// fillPlacementTable records a placement for each chat, by a cache event of its target.
func fillPlacementTable(ow *pool.Owner, chats int) {
	for number := range chats {
		ow.CacheEvent(startTime, chestnutroad.CacheEvent{
			Target: targetID(0), Incarnation: 1, Sequence: uint64(number + 1), Chat: chatID(number), Cached: 1,
		})
	}
}

// chatID returns ids that use all 64 bits, as hashes do; small ids would be encoded in fewer bytes in a handover.
func chatID(number int) chestnutroad.ChatID {
	return chestnutroad.ChatID(uint64(number+1) * 0x9e3779b97f4a7c15)
}

func handoverBytesPerChat(chats int) float64 {
	ow := newOwner(1, pool.TableLimit(chats))
	fillPlacementTable(ow, chats)
	return float64(len(ow.Export())) / float64(chats)
}

func bytesPerTarget(targets int) float64 {
	return heapBytesPerItem(targets, func() any {
		ow := newOwner(targets)
		for index := range targets {
			ow.Report(startTime, loadReport(index, 1))
		}
		return ow
	})
}

func loadReport(index int, taken int64) chestnutroad.LoadReport {
	return chestnutroad.LoadReport{
		Target: targetID(index), Incarnation: 1, Taken: startTime.Add(time.Duration(taken) * time.Millisecond),
	}
}

func bytesPerTeam(teams int) float64 {
	ow := newOwner(1)
	return heapBytesPerItem(teams, func() any {
		for index := range teams {
			request := newRequest(index, teamID(index), 1)
			ow.Submit(startTime, request)
			ow.Finish(startTime, request.ID)
		}
		return ow
	})
}

func teamID(index int) chestnutroad.TeamID { return chestnutroad.TeamID(fmt.Sprintf("team-%d", index)) }

func newRequest(number int, team chestnutroad.TeamID, chat chestnutroad.ChatID) chestnutroad.Request {
	return chestnutroad.Request{
		ID: chestnutroad.RequestID(fmt.Sprint(number)), Team: team, Chat: chat, Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Prompt: 800, MaxOutput: 200, Deadline: startTime.Add(time.Hour),
	}
}

// timePerRequest measures Submit and Finish with eight unfinished requests for each target.
func timePerRequest(seed uint64, targets, teams int) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a measurement needs a seed
	ow := newOwner(targets)
	running := make([]chestnutroad.RequestID, 8*targets)
	submit := func(number int) {
		request := newRequest(number, teamID(rnd.IntN(teams)), chestnutroad.ChatID(rnd.Uint64N(5_000)+1))
		running[number%len(running)] = request.ID
		ow.Submit(startTime, request)
	}
	for number := range running {
		submit(number)
	}
	return microsecondsPerCall(func(number int) {
		number += len(running)
		ow.Finish(startTime, running[number%len(running)])
		submit(number)
	})
}

func timePerReport(targets int) float64 {
	ow := newOwner(targets)
	return microsecondsPerCall(func(number int) { ow.Report(startTime, loadReport(number%targets, int64(number))) })
}

func timePerRanking(targets int) float64 {
	candidates := make([]pool.Candidate, targets)
	for index := range candidates {
		candidates[index] = pool.Candidate{ID: targetID(index), Shard: shard, Weight: 1}
	}
	return microsecondsPerCall(func(number int) { pool.RankShards(chestnutroad.ChatID(number+1), candidates) })
}
