package work

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// initialPrefill is the prefill time of a token until enough waits were observed: 40 tokens/ms, below the 57 to 82 of
	// known engines, so that long prompts aren't underestimated.
	initialPrefill = 25 * time.Microsecond
	// initialStep is the engine time of a generated token until event gaps were observed: a step of 24 ms shared by 12
	// requests.
	initialStep = 2 * time.Millisecond
	// maxDeviation bounds the learned values to this factor above and below the initial ones, so that malformed load
	// headers and slow links can't make the work of requests vanish.
	maxDeviation = 10
	// prefillGain is the weight of a new wait, and stepGain that of a new gap, in the moving averages. A host sees some
	// hundred event gaps, and a few first events, in a second.
	prefillGain = 1.0 / 64
	stepGain    = 1.0 / 256
	// minWaits is the number of waits below which the initial prefill time is used.
	minWaits = 16
	// minTokenDeviation is the standard deviation of the prompt tokens below which the waits don't tell the prefill time
	// from the constant part of a wait: 500 tokens take about 8 ms, longer than the jitter of a message between data centres.
	minTokenDeviation = 500
)

// Rates holds the prefill time and the step time of the engines of one service, learned from the requests of this host. The
// zero value is ready to use; it is not safe for concurrent use.
type Rates struct {
	waits int
	// tokens, wait, tokensSquared and tokensWait are moving averages of the prefilled tokens, the waits for the first event
	// in seconds, and their products.
	tokens, wait, tokensSquared, tokensWait float64
	// step is the moving average of the engine time of a generated token in seconds; zero before the first event gap.
	step float64
}

// ObserveFirstEvent records the wait for the first event of a request with prefilled tokens that probably weren't cached. Waits in
// the queue of an engine say nothing about its prefill rate, so that waiting, the number of requests in the queue, must be zero.
func (rt *Rates) ObserveFirstEvent(prefilled chestnutroad.Tokens, wait time.Duration, waiting int) {
	if waiting != 0 || prefilled < 0 || wait < 0 {
		return
	}
	rt.waits++
	gain := max(prefillGain, 1/float64(rt.waits))
	tokens, seconds := float64(prefilled), wait.Seconds()
	rt.tokens += gain * (tokens - rt.tokens)
	rt.wait += gain * (seconds - rt.wait)
	rt.tokensSquared += gain * (tokens*tokens - rt.tokensSquared)
	rt.tokensWait += gain * (tokens*seconds - rt.tokensWait)
}

// ObserveEventGap records the time between two events of a request at an engine that runs the number of requests: in each step
// it generates a token for each of them.
func (rt *Rates) ObserveEventGap(gap time.Duration, running int) {
	if gap < 0 || running <= 0 {
		return
	}
	if rt.step == 0 {
		rt.step = initialStep.Seconds()
	}
	rt.step += stepGain * (gap.Seconds()/float64(running) - rt.step)
}

// PrefillTime returns the engine time of a prompt token that is not cached: the slope of the waits over the tokens.
func (rt *Rates) PrefillTime() time.Duration {
	variance := rt.tokensSquared - rt.tokens*rt.tokens
	if rt.waits < minWaits || variance < minTokenDeviation*minTokenDeviation {
		return initialPrefill
	}
	return bounded((rt.tokensWait-rt.tokens*rt.wait)/variance, initialPrefill)
}

// StepTime returns the engine time of a generated token.
func (rt *Rates) StepTime() time.Duration {
	if rt.step == 0 {
		return initialStep
	}
	return bounded(rt.step, initialStep)
}

func bounded(seconds float64, initial time.Duration) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), initial/maxDeviation), initial*maxDeviation)
}

// maxTokens bounds the token counts that callers state, so that the estimates don't overflow; no engine holds more in a context.
const maxTokens = 10_000_000

// Estimate returns the engine time of a request that has the tokens prefilled and generated.
func (rt *Rates) Estimate(prefilled, generated chestnutroad.Tokens) time.Duration {
	return time.Duration(min(max(prefilled, 0), maxTokens))*rt.PrefillTime() +
		time.Duration(min(max(generated, 0), maxTokens))*rt.StepTime()
}
