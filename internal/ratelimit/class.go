package ratelimit

import "github.com/chestnutroad/chestnutroad"

// Class orders the requests at a target with a limit; those of lower classes are admitted first.
type Class int

// ClassByRank returns the class of a request of a service all of whose targets have limits, so that what is not admitted is refused.
// A request whose preferred target has no room is a class behind those of its rank that prefer the target.
func ClassByRank(rank int, preferred bool) Class {
	class := max(0, rank)
	if !preferred {
		class++
	}
	return Class(min(class, chestnutroad.RateClasses-1))
}

// ClassByCost returns the class of a request that a target without a limit can take as well: requests whose shared parts are costly
// to read again stay where they are cached.
func ClassByCost(costly, preferred bool) Class {
	class := Class(0)
	if !costly {
		class++
	}
	if !preferred {
		class += 2
	}
	return class
}
