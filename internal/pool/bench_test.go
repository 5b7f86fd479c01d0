package pool_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// BenchmarkSubmitFinish measures one request through an owner whose targets run eight requests each.
func BenchmarkSubmitFinish(b *testing.B) {
	for _, targets := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			ow := pool.New(testShard)
			listed := make([]pool.Target, targets)
			for index := range listed {
				listed[index].ID = chestnutroad.TargetID(fmt.Sprintf("engine-%d", index))
			}
			ow.SetTargets(testStart, listed)
			running := make([]chestnutroad.RequestID, 8*targets)
			submit := func(number int) {
				id := chestnutroad.RequestID(fmt.Sprint(number))
				running[number%len(running)] = id
				ow.Submit(testStart, chestnutroad.Request{
					ID: id, Team: "team", Chat: chestnutroad.ChatID(number%5000 + 1), Priority: chestnutroad.PriorityChat,
					Repeat: chestnutroad.RepeatAllowed, Prompt: 800, MaxOutput: 200, Deadline: testStart.Add(time.Hour),
				})
			}
			for number := range running {
				submit(number)
			}
			b.ReportAllocs()
			number := len(running)
			for b.Loop() {
				ow.Finish(testStart, running[number%len(running)])
				submit(number)
				number++
			}
			b.ReportMetric(float64(ow.Status(testStart).Counts.Moved)/float64(number), "moves/op")
		})
	}
}

// BenchmarkTableBytes measures the memory of the placement table per chat.
func BenchmarkTableBytes(b *testing.B) {
	for _, chats := range []int{10_000, 200_000, 1_000_000} {
		b.Run(fmt.Sprintf("chats=%d", chats), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				ow := pool.New(testShard, pool.TableLimit(chats))
				ow.SetTargets(testStart, []pool.Target{{ID: "engine-0"}})
				before := heapInUse()
				for number := range chats {
					ow.CacheEvent(testStart, chestnutroad.CacheEvent{
						Target: "engine-0", Incarnation: 1, Sequence: uint64(number + 1), Chat: chestnutroad.ChatID(number + 1), Cached: 1,
					})
				}
				bytes = (heapInUse() - before) / float64(chats)
				if ow.Status(testStart).Chats != chats {
					b.Fatal("the table is not full")
				}
			}
			b.ReportMetric(bytes, "bytes/chat")
		})
	}
}

func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
