package experiment

import "time"

// Scenario describes the traffic and the fleet of an experiment.
type Scenario struct {
	Name        string
	Routers     int
	DataCentres int
	// RemoteDelay is the delay between data centres; LocalDelay is that within one.
	RemoteDelay, LocalDelay time.Duration
	Engines                 int
	// Slots is how many requests an engine works on at a time.
	Slots                  int
	TimePerToken           time.Duration // per answer token
	PrefillTokensPerSecond float64       // prompt tokens
	CacheTokensPerEngine   int           // per engine
	Teams                  int
	Chats                  int
	// FirstPromptTokens and PromptGrowthTokens are the mean prompt tokens of a chat's first turn
	// and of each further one; TurnsPerChat is its number of turns.
	FirstPromptTokens, PromptGrowthTokens, TurnsPerChat int
	AnswerTokens                                        int // mean answer tokens
	// RequestRate is the number of requests a second from returning chats.
	RequestRate float64
	// UrgentShare of the requests are lookups with short prompts and answers.
	UrgentShare float64
	// Surge adds SurgeRate bulk requests a second of one team from SurgeFrom to SurgeTo.
	SurgeRate            float64
	SurgeStart, SurgeEnd time.Duration
	// HasChurn lets engines join, leave and flap.
	HasChurn bool
	// Outage takes half of the engines away from OutageStart to OutageEnd.
	OutageStart, OutageEnd time.Duration
	// OwnerKillInterval kills the router that owns the pool and restarts it later.
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
	// One data centre's part of one pool at the size of docs/CAPACITY.md.
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

// cacheForTwoThirds returns the cache size per engine at which all engines
// together hold two thirds of the chats at their mean length.
func (s Scenario) cacheForTwoThirds() int {
	mean := s.FirstPromptTokens + s.PromptGrowthTokens*(s.TurnsPerChat-1)/2
	return s.Chats * mean * 2 / 3 / s.Engines
}
