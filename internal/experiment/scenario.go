package experiment

import "time"

// Scenario describes the traffic and the fleet of an experiment.
type Scenario struct {
	Name        string
	Routers     int
	DataCentres int
	// OneWay is the delay between data centres; Local is that within one.
	OneWay, Local time.Duration
	Engines       int
	// Slots is how many requests an engine works on at a time.
	Slots            int
	Step             time.Duration // per answer token
	PrefillPerSecond float64       // prompt tokens
	CacheTokens      int           // per engine
	Teams            int
	Chats            int
	// FirstPrompt and Growth are the mean prompt tokens of a chat's first turn
	// and of each further one; LastTurn is its number of turns.
	FirstPrompt, Growth, LastTurn int
	Answer                        int // mean answer tokens
	// Rate is the number of requests a second from returning chats.
	Rate float64
	// UrgentShare of the requests are lookups with short prompts and answers.
	UrgentShare float64
	// Surge adds SurgeRate bulk requests a second of one team from SurgeFrom to SurgeTo.
	SurgeRate          float64
	SurgeFrom, SurgeTo time.Duration
	// Churn lets engines join, leave and flap.
	Churn bool
	// Outage takes half of the engines away from OutageFrom to OutageTo.
	OutageFrom, OutageTo time.Duration
	// KillOwnerEvery kills the router that owns the pool and restarts it later.
	KillOwnerEvery time.Duration
	Duration       time.Duration
}

// Scenarios returns the named scenarios.
func Scenarios() []Scenario {
	amman := Scenario{
		Name: "amman", Routers: 9, DataCentres: 3, OneWay: time.Millisecond, Local: 200 * time.Microsecond,
		Engines: 12, Slots: 16, Step: 30 * time.Millisecond, PrefillPerSecond: 8000,
		Teams: 10, Chats: 900, FirstPrompt: 400, Growth: 150, LastTurn: 12, Answer: 90,
		Rate: 34, UrgentShare: 0.2, SurgeRate: 60, SurgeFrom: 60 * time.Second, SurgeTo: 90 * time.Second,
		Duration: 150 * time.Second,
	}
	perth := amman
	perth.Name, perth.OneWay, perth.Engines = "perth", 1500*time.Microsecond, 10
	perth.Chats, perth.FirstPrompt, perth.Growth, perth.Answer = 600, 6000, 500, 120
	perth.Rate, perth.UrgentShare, perth.SurgeRate = 22, 0.1, 40
	churn := amman
	churn.Name, churn.Churn = "churn", true
	outage := amman
	outage.Name, outage.SurgeRate = "outage", 0
	outage.OutageFrom, outage.OutageTo, outage.Duration = 30*time.Second, 150*time.Second, 200*time.Second
	takeover := amman
	takeover.Name, takeover.SurgeRate, takeover.KillOwnerEvery = "takeover", 0, 25*time.Second
	// One data centre's part of one pool at the size of docs/CAPACITY.md.
	cell := Scenario{
		Name: "cell", Routers: 31, DataCentres: 1, OneWay: time.Millisecond, Local: 200 * time.Microsecond,
		Engines: 11, Slots: 200, Step: 30 * time.Millisecond, PrefillPerSecond: 8000,
		Teams: 10, Chats: 12000, FirstPrompt: 400, Growth: 150, LastTurn: 12, Answer: 463,
		Rate: 110, UrgentShare: 0.1, Duration: 90 * time.Second,
	}
	all := []Scenario{amman, perth, churn, outage, takeover, cell}
	for i := range all {
		all[i].CacheTokens = all[i].cacheForTwoThirds()
	}
	return all
}

// cacheForTwoThirds returns the cache size per engine at which all engines
// together hold two thirds of the chats at their mean length.
func (s Scenario) cacheForTwoThirds() int {
	mean := s.FirstPrompt + s.Growth*(s.LastTurn-1)/2
	return s.Chats * mean * 2 / 3 / s.Engines
}
