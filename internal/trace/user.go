package trace

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// user describes one customer's installation and traffic.
type user struct {
	name      string
	site      chestnutroad.SiteID
	oneWay    time.Duration
	centres   []centre
	assistant chestnutroad.ServiceID
	plain     chestnutroad.ServiceID
	cache     chestnutroad.Tokens
	teams     []team
	// chats, lookups and orders are arrivals a second outside the surge; chats counts single turns.
	chats   float64
	lookups float64
	orders  float64
	// surge is the team that sends tenfold for a while.
	surge chestnutroad.TeamID
	churn []churnStep
}

type centre struct {
	id      chestnutroad.DataCentreID
	hosts   int
	engines int
	plain   int
}

type team struct {
	id chestnutroad.TeamID
	// chats and calls are the team's parts of the traffic to the assistant and to the plain service.
	chats    float64
	calls    float64
	priority chestnutroad.Priority
}

// churnStep is one planned event; its time is moved by up to jitter, and the generator picks what it hits.
type churnStep struct {
	at     time.Duration
	kind   EventType
	length time.Duration
	centre int
}

const jitter = 10 * time.Second

var users = []user{
	{
		name: "warta", site: "wielkopolska", oneWay: 1500 * time.Microsecond,
		centres:   []centre{{"poznan-a", 5, 4, 1}, {"poznan-b", 4, 3, 1}, {"konin", 3, 3, 1}},
		assistant: "assistant", plain: "orders", cache: 400_000,
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
		chats: 14, lookups: 8, orders: 2, surge: "stock-desk",
		churn: []churnStep{
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
		name: "kaffivakt", site: "is-sudvestur", oneWay: time.Millisecond,
		centres:   []centre{{"reykjavik-a", 7, 4, 1}, {"reykjavik-b", 6, 3, 1}, {"hafnarfjordur", 4, 3, 1}, {"keflavik", 4, 2, 1}},
		assistant: "assistant", plain: "bookings", cache: 400_000,
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
		chats: 17, lookups: 6, orders: 2, surge: "handovers",
		churn: []churnStep{
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

// Users returns the names of the users that Generate knows.
func Users() []string {
	names := make([]string, 0, len(users))
	for _, us := range users {
		names = append(names, us.name)
	}
	return names
}
