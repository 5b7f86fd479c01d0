package admission

const (
	// toleratedLateness is the share of late answers of a rank that has no effect: of the six or eight urgent answers that a host
	// sees in outcomeTimeConstant, one may be late by chance. With 0.1, and effects from 0.5 of the slots, 140 requests were refused
	// in 20 s at 130 hosts and 0.8 of the capacity, without fewer late ones.
	toleratedLateness = 0.2
	// latenessGain is the share of the work of less urgent ranks that is refused for each share of late answers beyond the
	// tolerated one: with 0.4 of the answers late, only the floors are left.
	latenessGain = 5
	// minRankAnswers is the decayed number of answers of a rank below which their lateness has no effect.
	minRankAnswers = 6
	// latenessFrom and latenessFull are the shares of slots in use from which lateness starts to have an effect, and has its full
	// effect. Below, engines have room: late answers have another cause, which refusals don't remove.
	latenessFrom, latenessFull = 0.6, 0.8
)

// latenessByRank holds the decayed counts of answers and late answers of each rank.
type latenessByRank struct {
	answers, late [rankCount]float64
}

func (ls *latenessByRank) decay(factor float64) {
	for rank := range ls.answers {
		ls.answers[rank] *= factor
		ls.late[rank] *= factor
	}
}

func (ls *latenessByRank) observe(rank int, late bool) {
	rank = min(max(rank, 0), rankCount-1)
	ls.answers[rank]++
	if late {
		ls.late[rank]++
	}
}

// excess returns the share of the work of less urgent ranks to refuse for the lateness of a rank.
func (ls *latenessByRank) excess(rank int) float64 {
	if ls.answers[rank] < minRankAnswers {
		return 0
	}
	return min(1, max(0, latenessGain*(ls.late[rank]/ls.answers[rank]-toleratedLateness)))
}

// lateRefusalShare returns the share of a class to refuse since answers of more urgent ranks are late; use is the share of slots in
// use.
func (th *Throttle) lateRefusalShare(class int, use float64) float64 {
	share, effect := 0.0, min(1, max(0, (use-latenessFrom)/(latenessFull-latenessFrom)))
	for rank := range class / precedenceCount {
		if excess := effect * th.lateness.excess(rank); excess > 0 {
			al := newAllocation(&th.demand, &th.requests, excess, precedenceCount*(rank+1))
			share = max(share, al.refused[class])
		}
	}
	return share
}
