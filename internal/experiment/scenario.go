package experiment

import "time"

// Scenario describes the traffic and the fleet of an experiment.
type Scenario struct {
	Name        string
	Routers     int
	DataCentres int
	// RemoteDelay is the one-way delay between data centres, LocalDelay that within a data centre.
	RemoteDelay, LocalDelay time.Duration
	Engines                 int
	// Slots is the number of requests that an engine processes at a time.
	Slots                  int
	TimePerToken           time.Duration // time of one answer token
	PrefillTokensPerSecond float64       // rate of uncached prompt tokens
	CacheTokensPerEngine   int           // capacity of an engine's prefix cache
	Teams                  int
	Chats                  int
	// FirstPromptTokens is the mean prompt size of the first turn of a chat, PromptGrowthTokens the
	// mean growth of the prompt with each further turn. TurnsPerChat is the number of turns.
	FirstPromptTokens, PromptGrowthTokens, TurnsPerChat int
	AnswerTokens                                        int // mean size of an answer
	// RequestRate is the number of requests per second, without those of a surge.
	RequestRate float64
	// UrgentShare is the share of requests that are urgent lookups with short prompts and answers.
	UrgentShare float64
	// SurgeRate is the number of additional bulk requests per second of one team between SurgeStart
	// and SurgeEnd; 0 means no surge.
	SurgeRate            float64
	SurgeStart, SurgeEnd time.Duration
	// HasChurn makes engines join and leave, and one engine crash repeatedly.
	HasChurn bool
	// From OutageStart to OutageEnd half of the engines are down. OutageEnd 0 means no outage.
	OutageStart, OutageEnd time.Duration
	// OwnerKillInterval is the time between two kills of the router that owns the pool; the router
	// restarts after a while. 0 means no kills.
	OwnerKillInterval time.Duration
	Duration          time.Duration
}

// Scenarios returns the named scenarios.
func Scenarios() []Scenario {
	amman := Scenario{
		Name: "amman", Routers: 9, DataCentres: 3, RemoteDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond,
		Engines: 12, Slots: 16, TimePerToken: 30 * time.Millisecond, PrefillTokensPerSecond: 8000,
		Teams: 10, Chats: 900, FirstPromptTokens: 400, PromptGrowthTokens: 150, TurnsPerChat: 12, AnswerTokens: 90,
		RequestRate: 34, UrgentShare: 0.2, SurgeRate: 60, SurgeStart: 60 * time.Second, SurgeEnd: 90 * time.Second,
		Duration: 150 * time.Second,
	}
	perth := amman
	perth.Name, perth.RemoteDelay, perth.Engines = "perth", 1500*time.Microsecond, 10
	perth.Chats, perth.FirstPromptTokens, perth.PromptGrowthTokens, perth.AnswerTokens = 600, 6000, 500, 120
	perth.RequestRate, perth.UrgentShare, perth.SurgeRate = 22, 0.1, 40
	churn := amman
	churn.Name, churn.HasChurn = "churn", true
	outage := amman
	outage.Name, outage.SurgeRate = "outage", 0
	outage.OutageStart, outage.OutageEnd, outage.Duration = 30*time.Second, 150*time.Second, 200*time.Second
	takeover := amman
	takeover.Name, takeover.SurgeRate, takeover.OwnerKillInterval = "takeover", 0, 25*time.Second
	// The share of one pool in one data centre at the fleet size of docs/CAPACITY.md.
	cell := Scenario{
		Name: "cell", Routers: 31, DataCentres: 1, RemoteDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond,
		Engines: 11, Slots: 200, TimePerToken: 30 * time.Millisecond, PrefillTokensPerSecond: 8000,
		Teams: 10, Chats: 12000, FirstPromptTokens: 400, PromptGrowthTokens: 150, TurnsPerChat: 12, AnswerTokens: 463,
		RequestRate: 110, UrgentShare: 0.1, Duration: 90 * time.Second,
	}
	all := []Scenario{amman, perth, churn, outage, takeover, cell}
	for i := range all {
		all[i].CacheTokensPerEngine = all[i].cacheForTwoThirds()
	}
	return all
}

// cacheForTwoThirds returns the cache size of an engine at which all engines together hold two
// thirds of the chats at their mean prompt size.
func (s Scenario) cacheForTwoThirds() int {
	meanPromptTokens := s.FirstPromptTokens + s.PromptGrowthTokens*(s.TurnsPerChat-1)/2
	return s.Chats * meanPromptTokens * 2 / 3 / s.Engines
}
