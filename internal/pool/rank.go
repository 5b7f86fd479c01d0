package pool

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

// Candidate is one target of a pool in a ranking.
type Candidate struct {
	ID    chestnutroad.TargetID
	Shard chestnutroad.ShardID
	// Weight is the target's share relative to others, from 0 (just joined) to 1.
	Weight float64
}

// RankTargets orders the candidates for a chat by weighted rendezvous hashing, the preferred one first.
//
// A change of one target's presence or weight moves only chats to or from that target.
func RankTargets(chat chestnutroad.ChatID, candidates []Candidate) []Candidate {
	ranked := append([]Candidate(nil), candidates...)
	scores := make(map[chestnutroad.TargetID]rankScore, len(ranked))
	for _, cd := range ranked {
		scores[cd.ID] = scoreOf(chat, seedOf(cd.ID), cd.Weight)
	}
	sort.SliceStable(ranked, func(a, b int) bool {
		return scores[ranked[b].ID].less(scores[ranked[a].ID])
	})
	return ranked
}

// RankShards returns the candidates' shards in the order of their best ranked target for the chat.
func RankShards(chat chestnutroad.ChatID, candidates []Candidate) []chestnutroad.ShardID {
	var shards []chestnutroad.ShardID
	seen := map[chestnutroad.ShardID]bool{}
	for _, cd := range RankTargets(chat, candidates) {
		if !seen[cd.Shard] {
			seen[cd.Shard] = true
			shards = append(shards, cd.Shard)
		}
	}
	return shards
}

// rankScore orders targets for one chat; targets of weight zero come last, in the order of their hashes.
type rankScore struct {
	weighted float64
	hash     uint64
}

func (rs rankScore) less(other rankScore) bool {
	if rs.weighted != other.weighted {
		return rs.weighted < other.weighted
	}
	return rs.hash < other.hash
}

func seedOf(id chestnutroad.TargetID) uint64 { return xxhash.Sum64String(string(id)) }

// scoreOf returns the score u^(1/weight) of weighted rendezvous hashing, where u is the uniform hash of chat and
// target.
func scoreOf(chat chestnutroad.ChatID, seed uint64, weight float64) rankScore {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(chat))
	binary.LittleEndian.PutUint64(key[8:], seed)
	hash := xxhash.Sum64(key[:])
	if weight <= 0 {
		return rankScore{hash: hash}
	}
	uniform := float64(hash>>11) / (1 << 53)
	if weight < 1 {
		uniform = math.Pow(uniform, 1/weight)
	}
	return rankScore{weighted: uniform, hash: hash}
}

// FirstTarget returns the first of the targets in rendezvous order for the chat. It panics when there is no target.
func FirstTarget(chat chestnutroad.ChatID, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	best := targets[0]
	bestScore := scoreOf(chat, seedOf(best), 1)
	for _, id := range targets[1:] {
		if score := scoreOf(chat, seedOf(id), 1); bestScore.less(score) {
			best, bestScore = id, score
		}
	}
	return best
}
