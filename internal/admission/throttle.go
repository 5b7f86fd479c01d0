package admission

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// throttleMemory is the time constant with which outcomes are forgotten; a host of the large sites sees some ten
	// requests in it.
	throttleMemory = 2 * time.Second
	// demandMemory is the time constant with which the requests that are asked for are forgotten, so that nothing is
	// refused any more soon after a surge.
	demandMemory = 500 * time.Millisecond
	// surplus is the multiple of the requests answered in time that is admitted, so that a growing capacity is found;
	// drain is that of the requests answered late, so that the queue in which they waited becomes shorter.
	surplus = 1.2
	drain   = 0.6
	// classCount is the number of classes: three ranks with two standings each.
	classCount = 6
	// freeShare is the share of a service's places in use up to which there is room, whatever the answers' times say; from
	// there to all of them, refusals set in.
	freeShare = 0.8
	// leastPart is the part of the share of all requests that are admitted which each class gets at least, so that none
	// starves.
	leastPart = 0.4
	// mostRefused is the largest share of all requests that is refused; what is admitted shows whether there is room.
	mostRefused = 0.9
	// firstEnds is the number of ends from which a host that has started goes by them.
	firstEnds = 8
)

// Throttle decides which requests of one service of engines a host admits, by how many of its latest ones were answered in
// time. Plain targets turn away what they can't queue themselves, which takes a caller some ms.
//
// The counts of requests at targets that hosts tell each other are up to 0.4 s old. When all hosts send by them alone,
// they all see a free place at once and flood it, then all hold back: a full service answers late most of the time. What
// a host's own requests met has no such lag, and each host follows its own.
//
// The zero value is ready to use; it is not safe for concurrent use.
type Throttle struct {
	// inTime and late are the answers, classes the requests that were asked for, admitted or not.
	inTime, late float64
	// ends counts all ends since the start.
	ends    int
	classes [classCount]float64
	at      time.Time
}

func (th *Throttle) fade(now time.Time) {
	elapsed := now.Sub(th.at)
	th.at = now
	keep := decay.Factor(elapsed, throttleMemory)
	th.inTime *= keep
	th.late *= keep
	recent := decay.Factor(elapsed, demandMemory)
	for index := range th.classes {
		th.classes[index] *= recent
	}
}

// Outcome says how an admitted request ended, as far as it tells of the room at its service.
type Outcome int

// The ends.
const (
	// InTime means that the answer came in time.
	InTime Outcome = iota
	// Late means that it came, but late.
	Late
	// Shed means that the target turned the request away, or that the caller waited in vain.
	Shed
)

// Observe takes in how an admitted request ended.
func (th *Throttle) Observe(now time.Time, end Outcome) {
	th.fade(now)
	th.ends++
	switch end {
	case InTime:
		th.inTime++
	case Late:
		th.late++
	case Shed:
	}
}

// Admit reports whether a request is admitted; use is the share of the service's places in use, draw is between 0 and 1.
func (th *Throttle) Admit(now time.Time, rank int, standing DropPrecedence, use, draw float64) bool {
	th.fade(now)
	class := classOf(rank, standing)
	th.classes[class]++
	pressure := min(1, max(0, (use-freeShare)/(1-freeShare)))
	return draw >= pressure*th.refuse(class)
}

// classOf returns the class of a request; the last class is refused first.
func classOf(rank int, standing DropPrecedence) int {
	return min(max(2*rank+int(standing), 0), classCount-1)
}

// refuse returns the share of a class that is refused so that what is admitted follows what was answered. Later classes
// are refused first.
func (th *Throttle) refuse(class int) float64 {
	if th.ends < firstEnds {
		return 0
	}
	total := 0.0
	for _, count := range th.classes {
		total += count
	}
	demand := total / demandMemory.Seconds()
	room := (surplus*th.inTime + drain*th.late) / throttleMemory.Seconds()
	excess := min(mostRefused, max(0, (demand-room)/(demand+1)))
	most, rest := 1-leastPart*(1-excess), excess
	for index := classCount - 1; index > class; index-- {
		rest -= min(rest, most*th.classes[index]/total)
	}
	return min(most, rest*total/th.classes[class])
}
