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
	// minPause and maxPause bound the pause between an answer and the chat's next turn. Pauses have a Pareto distribution with
	// the shape pauseShape.
	minPause   = 5 * time.Second
	pauseShape = 0.7
	maxPause   = 4 * time.Hour
	// The part of a pause above compressAbove is divided by compressionFactor, so that a trace of 15 minutes contains chats
	// that return after hours.
	compressAbove     = time.Minute
	compressionFactor = 60
	// tokenTime is the assumed time per output token; a pause starts at the end of the answer.
	tokenTime = 40 * time.Millisecond

	// Median, standard deviation of the logarithm, and maximum of log-normal distributions: tokens of a first prompt, of a
	// later message and of an answer, and the service time of a plain call in milliseconds. A chat ends when its prompt would
	// exceed maxContext tokens.
	promptMedian, promptSigma, maxPrompt = 350, 1.0, 4000
	turnMedian, turnSigma, maxTurn       = 60, 0.9, 1500
	outputMedian, outputSigma, maxOutput = 110, 0.8, 1024
	maxContext                           = 8192
	callMedian, callSigma, maxCall       = 60, 0.6, 2000

	// repeatShare is the share of orders that the caller sends again with the same key, within maxRepeatDelay.
	repeatShare    = 0.04
	maxRepeatDelay = 3 * time.Second
)

// callerLimits are the values of MaxOutput; a request gets the smallest one that fits its answer.
var callerLimits = []chestnutroad.Tokens{128, 256, 512, 1024}

// chatIDBits is the width of chat ids, which stay exact in readers that parse numbers as 64-bit floats.
const chatIDBits = 53

// addTraffic adds the usual traffic of all teams, each with its share of the total rates.
func (ge *generator) addTraffic() {
	var chats, calls float64
	for _, tm := range ge.user.teams {
		chats += tm.chatShare
		calls += tm.callShare
	}
	for index, tm := range ge.user.teams {
		stream := uint64(streamTeams + 10*index)
		ge.addChats(ge.newRand(stream), tm, ge.user.chatRate*tm.chatShare/chats)
		ge.addCalls(ge.newRand(stream+1), tm, chestnutroad.PriorityLookup, ge.user.lookupRate*tm.callShare/calls, 0, ge.duration)
		ge.addCalls(ge.newRand(stream+2), tm, chestnutroad.PriorityOrder, ge.user.orderRate*tm.callShare/calls, 0, ge.duration)
	}
}

// addSurge adds the surge of one team to its usual traffic; each chat of the surge has a single turn.
func (ge *generator) addSurge() {
	var chats, calls float64
	for _, tm := range ge.user.teams {
		chats += tm.chatShare
		calls += tm.callShare
	}
	const extra = surgeFactor - 1
	for _, tm := range ge.user.teams {
		if tm.id != ge.user.surgeTeam {
			continue
		}
		end := surgeStart + surgeLength
		rd := ge.newRand(streamSurge)
		poissonArrivals(rd, extra*ge.user.chatRate*tm.chatShare/chats, surgeStart, end, func(at time.Duration) {
			ge.addTurn(rd, at, tm, newChatID(rd), drawLogNormal(rd, promptMedian, promptSigma, maxPrompt), drawOutput(rd))
		})
		ge.addCalls(ge.newRand(streamSurge+1), tm, chestnutroad.PriorityLookup,
			extra*ge.user.lookupRate*tm.callShare/calls, surgeStart, end)
		ge.addCalls(ge.newRand(streamSurge+2), tm, chestnutroad.PriorityOrder,
			extra*ge.user.orderRate*tm.callShare/calls, surgeStart, end)
	}
}

// poissonArrivals calls fn with the times of a Poisson process between from and to.
func poissonArrivals(rd *rand.Rand, perSecond float64, from, to time.Duration, fn func(at time.Duration)) {
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

// addChats adds chats with all their turns. Chats also start before the trace, so that its first minutes are as busy as the
// rest.
func (ge *generator) addChats(rd *rand.Rand, tm team, perSecond float64) {
	poissonArrivals(rd, perSecond/meanTurns, -ge.duration, ge.duration, func(at time.Duration) { ge.addChat(rd, at, tm) })
}

// addChat adds the turns of one chat, starting at the given time. Each turn's prompt contains the earlier turns and answers.
func (ge *generator) addChat(rd *rand.Rand, at time.Duration, tm team) {
	chat := newChatID(rd)
	prompt := drawLogNormal(rd, promptMedian, promptSigma, maxPrompt)
	for {
		output := drawOutput(rd)
		if at >= 0 {
			ge.addTurn(rd, at, tm, chat, prompt, output)
		}
		prompt += output + drawLogNormal(rd, turnMedian, turnSigma, maxTurn)
		if rd.Float64() < 1.0/meanTurns || prompt > maxContext {
			return
		}
		at += (time.Duration(output)*tokenTime + drawPause(rd)).Truncate(time.Millisecond)
	}
}

// newChatID returns a random id that is never zero.
func newChatID(rd *rand.Rand) chestnutroad.ChatID {
	return chestnutroad.ChatID(rd.Uint64()>>(64-chatIDBits) | 1)
}

// drawPause draws the pause before a chat's next turn from a Pareto distribution and compresses long ones.
func drawPause(rd *rand.Rand) time.Duration {
	length := min(float64(maxPause), float64(minPause)*math.Pow(1-rd.Float64(), -1/pauseShape))
	long := max(0, length-float64(compressAbove))
	return time.Duration(length - long + long/compressionFactor)
}

// addTurn adds the request of one turn of a chat.
func (ge *generator) addTurn(
	rd *rand.Rand, at time.Duration, tm team, chat chestnutroad.ChatID, prompt, output chestnutroad.Tokens,
) {
	limit := callerLimits[len(callerLimits)-1]
	for _, candidate := range callerLimits {
		if output <= candidate {
			limit = candidate
			break
		}
	}
	ge.add(at, Event{Type: EventRequest, Request: &Request{
		Team: tm.id, Service: ge.user.assistant, Priority: tm.priority.String(), Host: ge.pickEntryHost(rd, at),
		Chat: chat, Prompt: prompt, Output: output, MaxOutput: limit,
	}})
}

// addCalls adds lookups or orders of one team. Orders have keys, and some are sent again.
func (ge *generator) addCalls(rd *rand.Rand, tm team, priority chestnutroad.Priority, perSecond float64, from, to time.Duration) {
	number := 0
	poissonArrivals(rd, perSecond, from, to, func(at time.Duration) {
		rq := Request{
			Team: tm.id, Service: ge.user.plainService, Priority: priority.String(), Host: ge.pickEntryHost(rd, at),
			ServiceMs: int64(drawLogNormal(rd, callMedian, callSigma, maxCall)),
		}
		if priority == chestnutroad.PriorityOrder {
			number++
			rq.Key = chestnutroad.IdempotencyKey(fmt.Sprintf("%s-%d-%d", tm.id, from/time.Second, number))
		}
		ge.add(at, Event{Type: EventRequest, Request: &rq})
		if rq.Key != "" && rd.Float64() < repeatShare {
			repeat := rq
			repeatAt := at + time.Duration(rd.Int64N(int64(maxRepeatDelay))).Truncate(time.Millisecond)
			repeat.Host = ge.pickEntryHost(rd, repeatAt)
			ge.add(repeatAt, Event{Type: EventRequest, Request: &repeat})
		}
	})
}

// drawLogNormal draws from a log-normal distribution, limited to 1 at least and limit at most, and rounds to an integer.
func drawLogNormal(rd *rand.Rand, median, sigma, limit float64) chestnutroad.Tokens {
	return chestnutroad.Tokens(math.Round(min(limit, max(1, median*math.Exp(sigma*rd.NormFloat64())))))
}

func drawOutput(rd *rand.Rand) chestnutroad.Tokens {
	return drawLogNormal(rd, outputMedian, outputSigma, maxOutput)
}
