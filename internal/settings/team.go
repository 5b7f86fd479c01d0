package settings

import (
	"slices"

	"github.com/chestnutroad/chestnutroad"
)

// Team holds the settings of a team, which is a tenant of the fleet.
type Team struct {
	ID chestnutroad.TeamID
	// Owner is the organisation that is billed.
	Owner string
	// TokenHashes are the hashes of the team's bearer tokens. Two of them allow the replacement of a token without downtime.
	TokenHashes []TokenHash
	// Weight is the team's weight in fair queueing.
	Weight int
	// Services are the services that the team may use.
	Services []chestnutroad.ServiceID
	// Priority is the priority of the team's requests to engines; a higher one than PriorityChat counts as PriorityChat.
	Priority chestnutroad.Priority
}

// MayUse reports whether the team may use the service.
func (tm Team) MayUse(id chestnutroad.ServiceID) bool { return slices.Contains(tm.Services, id) }

func priorityNames() []string {
	names := make([]string, 0, chestnutroad.PriorityCount)
	for pr := chestnutroad.PriorityOrder; pr < chestnutroad.PriorityCount; pr++ {
		names = append(names, pr.String())
	}
	return names
}

func (rd *reader) priority(fallback chestnutroad.Priority) chestnutroad.Priority {
	name := rd.choice("Priority", fallback.String(), priorityNames()...)
	pr, _ := chestnutroad.ParsePriority(name)
	return pr
}

func readTeam(rd *reader) Team {
	tm := Team{
		ID:          chestnutroad.TeamID(rd.id("Teams")),
		Owner:       rd.requiredText("Owner"),
		TokenHashes: readTokenHashes(rd),
		Weight:      int(rd.count("Weight", 1, 1, 10_000)),
		Services:    readServiceNames(rd),
		Priority:    rd.priority(chestnutroad.PriorityChat),
	}
	rd.reportUnknownKeys()
	return tm
}

func readTokenHashes(rd *reader) []TokenHash {
	texts := rd.texts("TokenHashes", checkTokenHash)
	hashes := make([]TokenHash, 0, len(texts))
	for _, text := range texts {
		hash, _ := parseTokenHash(text)
		hashes = append(hashes, hash)
	}
	rd.requireItems("TokenHashes", len(hashes))
	return hashes
}

func readServiceNames(rd *reader) []chestnutroad.ServiceID {
	texts := rd.texts("Services", checkID)
	ids := make([]chestnutroad.ServiceID, 0, len(texts))
	for _, text := range texts {
		ids = append(ids, chestnutroad.ServiceID(text))
	}
	rd.requireItems("Services", len(ids))
	return ids
}

// checkTeams reports references to services that don't exist and tokens that two teams have.
func checkTeams(rd *reader, ef *Effective) {
	holders := map[TokenHash]chestnutroad.TeamID{}
	for _, team := range rd.children("Teams") {
		tm, _ := ef.Team(chestnutroad.TeamID(team.id("Teams")))
		for _, id := range tm.Services {
			if _, found := ef.Service(id); !found {
				team.errorf("Services", team.tb.entries["Services"], "no service is named %q", string(id))
			}
		}
		for _, hash := range tm.TokenHashes {
			if other, found := holders[hash]; found {
				team.errorf("TokenHashes", team.tb.entries["TokenHashes"], "team %s has the same token", other)
			}
			holders[hash] = tm.ID
		}
	}
}
