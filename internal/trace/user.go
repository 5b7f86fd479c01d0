package trace

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// user describes the site and the traffic of one organisation that uses the router fleet.
type user struct {
	name          string
	site          chestnutroad.SiteID
	oneWayLatency time.Duration
	centres       []centre
	assistant     chestnutroad.ServiceID
	plainService  chestnutroad.ServiceID
	cacheTokens   chestnutroad.Tokens
	teams         []team
	// chatRate, lookupRate and orderRate are requests per second outside the surge; chatRate counts single turns.
	chatRate   float64
	lookupRate float64
	orderRate  float64
	// surgeTeam is the team that sends surgeFactor times its usual requests during the surge.
	surgeTeam  chestnutroad.TeamID
	churnSteps []churnStep
}

// centre is a data centre with the number of its hosts, engines and targets of the plain service.
type centre struct {
	id           chestnutroad.DataCentreID
	hosts        int
	engines      int
	plainTargets int
}

type team struct {
	id chestnutroad.TeamID
	// chatShare and callShare are the team's weights in the traffic to the assistant and to the plain service.
	chatShare float64
	callShare float64
	priority  chestnutroad.Priority
}

// churnStep is one planned event. The generator delays it by up to maxChurnJitter and picks the host or target at random.
type churnStep struct {
	at       time.Duration
	kind     EventType
	duration time.Duration
	// centre is an index into user.centres.
	centre int
}

// maxChurnJitter bounds the random delay of a churn step.
const maxChurnJitter = 10 * time.Second

var users = []user{
	{
		name: "warta", site: "wielkopolska", oneWayLatency: 1500 * time.Microsecond,
		centres:   []centre{{"poznan-a", 5, 4, 1}, {"poznan-b", 4, 3, 1}, {"konin", 3, 3, 1}},
		assistant: "assistant", plainService: "orders", cacheTokens: 400_000,
		teams: []team{
			{"order-desk", 20, 40, chestnutroad.PriorityChat},
			{"stock-desk", 18, 25, chestnutroad.PriorityChat},
			{"catalogue", 20, 10, chestnutroad.PriorityChat},
			{"tenders", 12, 0, chestnutroad.PriorityDraft},
			{"complaints", 10, 0, chestnutroad.PriorityDraft},
			{"key-accounts", 8, 8, chestnutroad.PriorityChat},
			{"purchasing", 5, 6, chestnutroad.PriorityChat},
			{"returns", 4, 6, chestnutroad.PriorityChat},
			{"transport", 0, 5, chestnutroad.PriorityChat},
			{"auditors", 3, 0, chestnutroad.PriorityDraft},
		},
		chatRate: 14, lookupRate: 8, orderRate: 2, surgeTeam: "stock-desk",
		churnSteps: []churnStep{
			{100 * time.Second, TargetLeave, 0, 0},
			{150 * time.Second, TargetJoin, 0, 0},
			{200 * time.Second, TargetRestart, 5 * time.Second, 1},
			{260 * time.Second, TargetFlap, 3 * time.Second, 2},
			{430 * time.Second, HostFail, 0, 0},
			{460 * time.Second, HostJoin, 0, 0},
			{520 * time.Second, TargetFail, 0, 1},
			{560 * time.Second, TargetJoin, 0, 1},
			{600 * time.Second, HostReplace, 0, 1},
			{630 * time.Second, HostReplace, 0, 2},
			{680 * time.Second, Partition, 30 * time.Second, 2},
			{780 * time.Second, LogDown, 20 * time.Second, 0},
		},
	},
	{
		name: "kaffivakt", site: "is-sudvestur", oneWayLatency: time.Millisecond,
		centres:   []centre{{"reykjavik-a", 7, 4, 1}, {"reykjavik-b", 6, 3, 1}, {"hafnarfjordur", 4, 3, 1}, {"keflavik", 4, 2, 1}},
		assistant: "assistant", plainService: "bookings", cacheTokens: 400_000,
		teams: []team{
			{"shift-desk", 25, 30, chestnutroad.PriorityChat},
			{"cafe-managers", 25, 30, chestnutroad.PriorityChat},
			{"rosters", 15, 0, chestnutroad.PriorityDraft},
			{"handovers", 10, 0, chestnutroad.PriorityChat},
			{"payroll", 5, 4, chestnutroad.PriorityDraft},
			{"onboarding", 4, 0, chestnutroad.PriorityChat},
			{"cafe-hlemmur", 4, 9, chestnutroad.PriorityChat},
			{"cafe-hofn", 4, 9, chestnutroad.PriorityChat},
			{"cafe-vellir", 4, 9, chestnutroad.PriorityChat},
			{"cafe-flugstod", 4, 9, chestnutroad.PriorityChat},
		},
		chatRate: 17, lookupRate: 6, orderRate: 2, surgeTeam: "handovers",
		churnSteps: []churnStep{
			{70 * time.Second, TargetLeave, 0, 0},
			{110 * time.Second, TargetJoin, 0, 0},
			{150 * time.Second, TargetRestart, 5 * time.Second, 1},
			{190 * time.Second, TargetFlap, 2 * time.Second, 2},
			{230 * time.Second, TargetFlap, 3 * time.Second, 0},
			{260 * time.Second, HostReplace, 0, 0},
			{290 * time.Second, TargetRestart, 5 * time.Second, 0},
			{420 * time.Second, HostFail, 0, 1},
			{450 * time.Second, HostJoin, 0, 1},
			{480 * time.Second, TargetFail, 0, 2},
			{510 * time.Second, TargetJoin, 0, 2},
			{540 * time.Second, TargetLeave, 0, 1},
			{580 * time.Second, TargetJoin, 0, 1},
			{610 * time.Second, HostReplace, 0, 2},
			{640 * time.Second, HostReplace, 0, 3},
			{680 * time.Second, Partition, 30 * time.Second, 3},
			{740 * time.Second, TargetFlap, 3 * time.Second, 1},
			{780 * time.Second, LogDown, 20 * time.Second, 0},
			{830 * time.Second, TargetRestart, 5 * time.Second, 3},
		},
	},
}

// Users returns the names that Generate accepts.
func Users() []string {
	names := make([]string, 0, len(users))
	for _, us := range users {
		names = append(names, us.name)
	}
	return names
}
