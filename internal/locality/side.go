package locality

import "math"

// Ratio is the number of requests at targets divided by their room.
type Ratio float64

// Side sums the targets of a service in the host's own data centre, or in all others. Targets that get no new requests (evacuated,
// unreachable or draining) belong to neither side.
type Side struct {
	// Targets is the number of targets, Requests that of the running and waiting requests at them.
	Targets, Requests int
	// Room is the number of requests that the targets take: the slots of each, or its load bound if that is lower.
	Room int
}

// Add adds a target. A target that states no slots (zero) takes as many requests as the load bound allows.
func (sd *Side) Add(requests, slots, bound int) {
	room := max(0, bound)
	if slots > 0 {
		room = min(room, slots)
	}
	sd.Targets++
	sd.Requests += max(0, requests)
	sd.Room += room
}

// Ratio returns the load ratio of the side. It is infinite for a side without room.
func (sd Side) Ratio() Ratio {
	if !sd.usable() {
		return Ratio(math.Inf(1))
	}
	return Ratio(max(0, sd.Requests)) / Ratio(sd.Room)
}

func (sd Side) usable() bool { return sd.Targets > 0 && sd.Room > 0 }

// overload returns the requests beyond the room of the side as a multiple of the room.
func (sd Side) overload() float64 {
	if !sd.usable() {
		return 0
	}
	return max(0, float64(sd.Ratio())-1)
}
