package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// start is the time at which all simulated runs begin.
var start = time.UnixMilli(1_800_000_000_000)

var shard = chestnutroad.ShardID{
	Pool: chestnutroad.PoolID{Site: "site", Service: "assistant-00"}, DataCentre: "centre-0",
}

func measurePool(seed uint64) ([]Slope, error) {
	targets := []int{10, 100, 600}
	return []Slope{
		slope("placement table", "bytes/chat", "chats", []int{10_000, 200_000, 1_000_000}, bytesOfChat),
		slope("hand-over of a shard", "bytes/chat", "chats", []int{10_000, 50_000, 200_000}, bytesOfHandOver),
		slope("shard owner, target list and reports", "bytes/target", "targets", []int{100, 1_000, 10_000}, bytesOfTarget),
		slope("shard owner, queues of teams", "bytes/team", "teams", []int{180, 1_800, 18_000}, bytesOfTeam),
		slope("request, Submit and Finish", "us/request", "targets of the shard", targets, func(size int) float64 {
			return timeOfRequest(seed, size, 1)
		}),
		slope("request, Submit and Finish, 100 targets", "us/request", "teams", []int{18, 180, 1_800}, func(size int) float64 {
			return timeOfRequest(seed, 100, size)
		}),
		slope("load report", "us/report", "targets of the shard", targets, timeOfReport),
		slope("ranking of a pool at the entry host", "us/request", "targets of the pool", []int{17, 100, 600}, timeOfRanking),
	}, nil
}

func newOwner(targets int, opts ...pool.Option) *pool.Owner {
	ow := pool.New(shard, opts...)
	listed := make([]pool.Target, targets)
	for index := range listed {
		listed[index].ID = targetID(index)
	}
	ow.SetTargets(start, listed)
	return ow
}

func targetID(index int) chestnutroad.TargetID {
	return chestnutroad.TargetID(fmt.Sprintf("engine-%d", index))
}

func bytesOfChat(chats int) float64 {
	ow := newOwner(1, pool.TableLimit(chats))
	return bytesEach(chats, func() any {
		fillTable(ow, chats)
		return ow
	})
}

func fillTable(ow *pool.Owner, chats int) {
	for number := range chats {
		ow.CacheEvent(start, chestnutroad.CacheEvent{
			Target: targetID(0), Incarnation: 1, Sequence: uint64(number + 1), Chat: chatID(number), Cached: 1,
		})
	}
}

// chatID spreads the ids over all 64 bits as hashes are; small ids would make a hand-over look small.
func chatID(number int) chestnutroad.ChatID {
	return chestnutroad.ChatID(uint64(number+1) * 0x9e3779b97f4a7c15)
}

func bytesOfHandOver(chats int) float64 {
	ow := newOwner(1, pool.TableLimit(chats))
	fillTable(ow, chats)
	return float64(len(ow.Export())) / float64(chats)
}

func bytesOfTarget(targets int) float64 {
	return bytesEach(targets, func() any {
		ow := newOwner(targets)
		for index := range targets {
			ow.Report(start, loadReport(index, 1))
		}
		return ow
	})
}

func loadReport(index int, taken int64) chestnutroad.LoadReport {
	return chestnutroad.LoadReport{
		Target: targetID(index), Incarnation: 1, Taken: start.Add(time.Duration(taken) * time.Millisecond),
	}
}

func bytesOfTeam(teams int) float64 {
	ow := newOwner(1)
	return bytesEach(teams, func() any {
		for index := range teams {
			request := newRequest(index, teamID(index), 1)
			ow.Submit(start, request)
			ow.Finish(start, request.ID)
		}
		return ow
	})
}

func teamID(index int) chestnutroad.TeamID { return chestnutroad.TeamID(fmt.Sprintf("team-%d", index)) }

func newRequest(number int, team chestnutroad.TeamID, chat chestnutroad.ChatID) chestnutroad.Request {
	return chestnutroad.Request{
		ID: chestnutroad.RequestID(fmt.Sprint(number)), Team: team, Chat: chat, Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Prompt: 800, MaxOutput: 200, Deadline: start.Add(time.Hour),
	}
}

// timeOfRequest keeps eight requests running on each target.
func timeOfRequest(seed uint64, targets, teams int) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a measurement needs a seed
	ow := newOwner(targets)
	running := make([]chestnutroad.RequestID, 8*targets)
	submit := func(number int) {
		request := newRequest(number, teamID(rnd.IntN(teams)), chestnutroad.ChatID(rnd.Uint64N(5_000)+1))
		running[number%len(running)] = request.ID
		ow.Submit(start, request)
	}
	for number := range running {
		submit(number)
	}
	return microsecondsEach(func(number int) {
		number += len(running)
		ow.Finish(start, running[number%len(running)])
		submit(number)
	})
}

func timeOfReport(targets int) float64 {
	ow := newOwner(targets)
	return microsecondsEach(func(number int) { ow.Report(start, loadReport(number%targets, int64(number))) })
}

func timeOfRanking(targets int) float64 {
	candidates := make([]pool.Candidate, targets)
	for index := range candidates {
		candidates[index] = pool.Candidate{ID: targetID(index), Shard: shard, Weight: 1}
	}
	return microsecondsEach(func(number int) { pool.RankShards(chestnutroad.ChatID(number+1), candidates) })
}
