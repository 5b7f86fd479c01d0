package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// meanTurns is the mean number of turns of a chat.
	meanTurns = 6
	// shortPause is the shortest and pauseLimit the longest pause of a chat; pauses have a Pareto distribution.
	shortPause = 5 * time.Second
	pauseShape = 0.7
	pauseLimit = 4 * time.Hour
	// Pauses beyond uncompressed are divided by compression, so that a trace of 15 minutes has returns after hours.
	uncompressed = time.Minute
	compression  = 60
	// tokenTime is the pace that the pauses assume for answers.
	tokenTime = 40 * time.Millisecond

	promptMedian, promptSpread, promptLimit = 350, 1.0, 4000
	turnMedian, turnSpread, turnLimit       = 60, 0.9, 1500
	outputMedian, outputSpread, outputLimit = 110, 0.8, 1024
	contextLimit                            = 8192
	callMedian, callSpread, callLimit       = 60, 0.6, 2000

	// repeatShare is the part of orders that the caller sends again with the same key.
	repeatShare = 0.04
	repeatSpan  = 3 * time.Second
)

// outputLimits are the limits that callers set for an answer.
var outputLimits = []chestnutroad.Tokens{128, 256, 512, 1024}

// chatBits keeps chat ids exact in readers that hold numbers as 64-bit floats.
const chatBits = 53

func (ge *generator) addTraffic() {
	var chats, calls float64
	for _, tm := range ge.us.teams {
		chats += tm.chats
		calls += tm.calls
	}
	for index, tm := range ge.us.teams {
		part := uint64(partTeams + 10*index)
		ge.addChats(ge.source(part), tm, ge.us.chats*tm.chats/chats)
		ge.addCalls(ge.source(part+1), tm, chestnutroad.PriorityLookup, ge.us.lookups*tm.calls/calls, 0, ge.length)
		ge.addCalls(ge.source(part+2), tm, chestnutroad.PriorityOrder, ge.us.orders*tm.calls/calls, 0, ge.length)
	}
}

// addSurge adds nine times the usual requests of one team, for chats as single turns.
func (ge *generator) addSurge() {
	var chats, calls float64
	for _, tm := range ge.us.teams {
		chats += tm.chats
		calls += tm.calls
	}
	const extra = surgeFactor - 1
	for _, tm := range ge.us.teams {
		if tm.id != ge.us.surge {
			continue
		}
		end := surgeStart + surgeLength
		rd := ge.source(partSurge)
		arrivals(rd, extra*ge.us.chats*tm.chats/chats, surgeStart, end, func(at time.Duration) {
			ge.addTurn(rd, at, tm, newChat(rd), heavy(rd, promptMedian, promptSpread, promptLimit), drawOutput(rd))
		})
		ge.addCalls(ge.source(partSurge+1), tm, chestnutroad.PriorityLookup, extra*ge.us.lookups*tm.calls/calls, surgeStart, end)
		ge.addCalls(ge.source(partSurge+2), tm, chestnutroad.PriorityOrder, extra*ge.us.orders*tm.calls/calls, surgeStart, end)
	}
}

// arrivals calls fn at the times of a Poisson process.
func arrivals(rd *rand.Rand, perSecond float64, from, to time.Duration, fn func(at time.Duration)) {
	if perSecond <= 0 {
		return
	}
	at := from
	for {
		at += time.Duration(rd.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		fn(at.Truncate(time.Millisecond))
	}
}

// addChats adds chats with their returns. Chats that began before the trace make the first minutes as busy as the rest.
func (ge *generator) addChats(rd *rand.Rand, tm team, perSecond float64) {
	arrivals(rd, perSecond/meanTurns, -ge.length, ge.length, func(at time.Duration) { ge.addChat(rd, at, tm) })
}

func (ge *generator) addChat(rd *rand.Rand, at time.Duration, tm team) {
	chat := newChat(rd)
	prompt := heavy(rd, promptMedian, promptSpread, promptLimit)
	for {
		output := drawOutput(rd)
		if at >= 0 {
			ge.addTurn(rd, at, tm, chat, prompt, output)
		}
		prompt += output + heavy(rd, turnMedian, turnSpread, turnLimit)
		if rd.Float64() < 1.0/meanTurns || prompt > contextLimit {
			return
		}
		at += (time.Duration(output)*tokenTime + pause(rd)).Truncate(time.Millisecond)
	}
}

func newChat(rd *rand.Rand) chestnutroad.ChatID {
	return chestnutroad.ChatID(rd.Uint64()>>(64-chatBits) | 1)
}

// pause draws the time until a chat returns, from seconds to hours, with long ones compressed.
func pause(rd *rand.Rand) time.Duration {
	length := min(float64(pauseLimit), float64(shortPause)*math.Pow(1-rd.Float64(), -1/pauseShape))
	long := max(0, length-float64(uncompressed))
	return time.Duration(length - long + long/compression)
}

func (ge *generator) addTurn(
	rd *rand.Rand, at time.Duration, tm team, chat chestnutroad.ChatID, prompt, output chestnutroad.Tokens,
) {
	limit := outputLimits[len(outputLimits)-1]
	for _, candidate := range outputLimits {
		if output <= candidate {
			limit = candidate
			break
		}
	}
	ge.add(at, Event{Type: EventRequest, Request: &Request{
		Team: tm.id, Service: ge.us.assistant, Priority: tm.priority.String(), Host: ge.entry(rd, at),
		Chat: chat, Prompt: prompt, Output: output, MaxOutput: limit,
	}})
}

func (ge *generator) addCalls(rd *rand.Rand, tm team, priority chestnutroad.Priority, perSecond float64, from, to time.Duration) {
	number := 0
	arrivals(rd, perSecond, from, to, func(at time.Duration) {
		rq := Request{
			Team: tm.id, Service: ge.us.plain, Priority: priority.String(), Host: ge.entry(rd, at),
			ServiceMs: int64(heavy(rd, callMedian, callSpread, callLimit)),
		}
		if priority == chestnutroad.PriorityOrder {
			number++
			rq.Key = chestnutroad.IdempotencyKey(fmt.Sprintf("%s-%d-%d", tm.id, from/time.Second, number))
		}
		ge.add(at, Event{Type: EventRequest, Request: &rq})
		if rq.Key != "" && rd.Float64() < repeatShare {
			again := rq
			later := at + time.Duration(rd.Int64N(int64(repeatSpan))).Truncate(time.Millisecond)
			again.Host = ge.entry(rd, later)
			ge.add(later, Event{Type: EventRequest, Request: &again})
		}
	})
}

// heavy draws from a log-normal distribution.
func heavy(rd *rand.Rand, median, spread, limit float64) chestnutroad.Tokens {
	return chestnutroad.Tokens(math.Round(min(limit, max(1, median*math.Exp(spread*rd.NormFloat64())))))
}

func drawOutput(rd *rand.Rand) chestnutroad.Tokens {
	return heavy(rd, outputMedian, outputSpread, outputLimit)
}
