package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// requestQueue holds the waiting requests: strict precedence between priorities, start-time fair queueing by team
// inside each.
type requestQueue struct {
	classes          [chestnutroad.PriorityCount]priorityQueue
	length           int
	earliestDeadline time.Time // lower bound of the queued requests' deadlines
}

// priorityQueue holds the waiting requests of one priority.
type priorityQueue struct {
	// front holds requests that returned to the head after a failure; their teams are already charged.
	front  []*request
	teams  map[chestnutroad.TeamID]*teamQueue
	active []*teamQueue // teams with a waiting request
	// virtualTime is the highest start tag of the requests dispatched so far.
	virtualTime float64
	work        chestnutroad.WorkUnits
	length      int
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue struct {
	team    chestnutroad.TeamID
	waiting []*request
	// startTag is the start tag of the head. A request gets its tag when it becomes the head, so that its team is not
	// charged for one that is refused while it waits.
	startTag  float64
	finishTag float64
	weight    float64
}

func newRequestQueue() *requestQueue {
	qu := &requestQueue{}
	for index := range qu.classes {
		qu.classes[index].teams = map[chestnutroad.TeamID]*teamQueue{}
	}
	return qu
}

func (qu *requestQueue) class(rq *request) *priorityQueue { return &qu.classes[rq.Priority] }

// add appends the request to its team's queue.
func (qu *requestQueue) add(rq *request, weight float64) {
	qu.class(rq).add(rq, weight)
	qu.countAdded(rq)
}

// addFront puts the request behind those already in front and before all others of its priority.
func (qu *requestQueue) addFront(rq *request) {
	pq := qu.class(rq)
	pq.front = append(pq.front, rq)
	pq.work += rq.work
	pq.length++
	qu.countAdded(rq)
}

// countAdded updates the length and the earliest deadline for an added request.
func (qu *requestQueue) countAdded(rq *request) {
	qu.length++
	if rq.Deadline.IsZero() {
		return
	}
	if qu.earliestDeadline.IsZero() || rq.Deadline.Before(qu.earliestDeadline) {
		qu.earliestDeadline = rq.Deadline
	}
}

// remove takes the request out without charging its team.
func (qu *requestQueue) remove(rq *request) {
	if qu.class(rq).remove(rq) {
		qu.length--
	}
}

// dispatch takes the request out and charges its work to its team.
func (qu *requestQueue) dispatch(rq *request) {
	qu.class(rq).charge(rq)
	qu.remove(rq)
}

// unordered returns the waiting requests, most urgent priority first, in no particular order inside each.
func (qu *requestQueue) unordered() []*request {
	waiting := make([]*request, 0, qu.length)
	for index := range qu.classes {
		pq := &qu.classes[index]
		waiting = append(waiting, pq.front...)
		for _, tq := range pq.active {
			waiting = append(waiting, tq.waiting...)
		}
	}
	return waiting
}

// dispatchOrder returns the waiting requests in the order in which they are dispatched if no other arrives.
func (qu *requestQueue) dispatchOrder() []*request {
	if qu.length == 0 {
		return nil
	}
	waiting := make([]*request, 0, qu.length)
	for index := range qu.classes {
		waiting = append(waiting, qu.classes[index].dispatchOrder()...)
	}
	return waiting
}

// expire returns the waiting requests whose deadline has passed; the caller removes them. It recomputes earliestDeadline
// from the other ones.
func (qu *requestQueue) expire(now time.Time) []*request {
	if qu.length == 0 || qu.earliestDeadline.IsZero() || now.Before(qu.earliestDeadline) {
		return nil
	}
	var expired []*request
	qu.earliestDeadline = time.Time{}
	for _, rq := range qu.unordered() {
		if rq.expired(now) {
			expired = append(expired, rq)
			continue
		}
		if !rq.Deadline.IsZero() && (qu.earliestDeadline.IsZero() || rq.Deadline.Before(qu.earliestDeadline)) {
			qu.earliestDeadline = rq.Deadline
		}
	}
	return expired
}

// workAhead returns the work that is dispatched before the waiting request.
func (qu *requestQueue) workAhead(rq *request) chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	for index := range int(rq.Priority) {
		work += qu.classes[index].work
	}
	return work + qu.class(rq).workAhead(rq)
}

// work returns the work of all waiting requests.
func (qu *requestQueue) work() chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	for index := range qu.classes {
		work += qu.classes[index].work
	}
	return work
}

// overflow returns the request to refuse when the queue is over its limit: the newest of the team with the most waiting
// requests for its weight, in the least urgent priority that has one. Requests that returned after a failure come last,
// since part of their answer may have been sent.
func (qu *requestQueue) overflow() *request {
	for index := len(qu.classes) - 1; index >= 0; index-- {
		if rq := qu.classes[index].overflow(); rq != nil {
			return rq
		}
	}
	for index := len(qu.classes) - 1; index >= 0; index-- {
		if front := qu.classes[index].front; len(front) > 0 {
			return front[len(front)-1]
		}
	}
	return nil
}

// removeIdleTeams deletes teams without waiting requests whose finish tag the virtual time has passed.
func (qu *requestQueue) removeIdleTeams() {
	for index := range qu.classes {
		pq := &qu.classes[index]
		for team, tq := range pq.teams {
			if len(tq.waiting) == 0 && tq.finishTag <= pq.virtualTime {
				delete(pq.teams, team)
			}
		}
	}
}

func (pq *priorityQueue) add(rq *request, weight float64) {
	tq := pq.teams[rq.Team]
	if tq == nil {
		tq = &teamQueue{team: rq.Team}
		pq.teams[rq.Team] = tq
	}
	tq.weight = weight
	if len(tq.waiting) == 0 {
		tq.startTag = max(pq.virtualTime, tq.finishTag)
		pq.active = append(pq.active, tq)
	}
	tq.waiting = append(tq.waiting, rq)
	pq.work += rq.work
	pq.length++
}

// next returns the first request in the order of dispatch: that of the front, then the head with the lowest start tag.
func (pq *priorityQueue) next() *request {
	if len(pq.front) > 0 {
		return pq.front[0]
	}
	return pq.head()
}

func (pq *priorityQueue) head() *request {
	var first *teamQueue
	for _, tq := range pq.active {
		if first == nil || tq.startTag < first.startTag || (tq.startTag == first.startTag && tq.team < first.team) {
			first = tq
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// charge advances the tags of the request's team by its work; requests in front were charged before.
func (pq *priorityQueue) charge(rq *request) {
	tq := pq.teams[rq.Team]
	if tq == nil || len(tq.waiting) == 0 || !slices.Contains(tq.waiting, rq) {
		return
	}
	pq.virtualTime = max(pq.virtualTime, tq.startTag)
	tq.finishTag = tq.startTag + float64(rq.work)/tq.weight
	tq.startTag = tq.finishTag
}

func (pq *priorityQueue) remove(rq *request) bool {
	if index := slices.Index(pq.front, rq); index >= 0 {
		pq.front = slices.Delete(pq.front, index, index+1)
		pq.countRemoved(rq)
		return true
	}
	tq := pq.teams[rq.Team]
	if tq == nil {
		return false
	}
	index := slices.Index(tq.waiting, rq)
	if index < 0 {
		return false
	}
	tq.waiting = slices.Delete(tq.waiting, index, index+1)
	if len(tq.waiting) == 0 {
		pq.active = slices.DeleteFunc(pq.active, func(other *teamQueue) bool { return other == tq })
	}
	pq.countRemoved(rq)
	return true
}

// countRemoved updates the totals for a removed request.
func (pq *priorityQueue) countRemoved(rq *request) {
	pq.work -= rq.work
	pq.length--
}

func (pq *priorityQueue) workAhead(rq *request) chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	for _, other := range pq.front {
		if other == rq {
			return work
		}
		work += other.work
	}
	own := pq.teams[rq.Team]
	tag := own.startTag
	for _, other := range own.waiting {
		if other == rq {
			break
		}
		work += other.work
		tag += float64(other.work) / own.weight
	}
	for _, tq := range pq.active {
		if tq != own {
			work += tq.workBefore(tag)
		}
	}
	return work
}

func (pq *priorityQueue) dispatchOrder() []*request {
	if pq.length == 0 {
		return nil
	}
	tags := make(map[*request]float64, pq.length)
	waiting := append(make([]*request, 0, pq.length), pq.front...)
	for _, tq := range pq.active {
		tag := tq.startTag
		for _, rq := range tq.waiting {
			tags[rq] = tag
			tag += float64(rq.work) / tq.weight
			waiting = append(waiting, rq)
		}
	}
	slices.SortStableFunc(waiting[len(pq.front):], func(a, b *request) int {
		return cmp.Compare(tags[a], tags[b])
	})
	return waiting
}

// workBefore returns the team's work that is dispatched before a request with the given start tag.
func (tq *teamQueue) workBefore(tag float64) chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	start := tq.startTag
	for _, rq := range tq.waiting {
		if start >= tag {
			break
		}
		work += rq.work
		start += float64(rq.work) / tq.weight
	}
	return work
}

func (pq *priorityQueue) overflow() *request {
	var longest *teamQueue
	for _, tq := range pq.active {
		if longest == nil || float64(len(tq.waiting))/tq.weight > float64(len(longest.waiting))/longest.weight {
			longest = tq
		}
	}
	if longest == nil {
		return nil
	}
	return longest.waiting[len(longest.waiting)-1]
}
