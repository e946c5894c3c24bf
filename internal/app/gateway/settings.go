package gateway

import "time"

// Settings of a gateway.
type Settings struct {
	Name       string
	DataCentre string
	// Strength is how much the VM bears, see fleet.Settings.
	Strength uint32
	Address  string   // where other routers reach this one, as IP:PORT
	Seeds    []string // addresses at which routers may run
	// ReadStoreAtStart is false for routers that start together with others that read the
	// store and pass on what they read.
	ReadStoreAtStart bool
	// FirstStart: the whole system starts for the first time, so nothing that it has learned is kept anywhere.
	FirstStart bool
	// MaxApplyDelay is the time in which a desired state has to be in force, LeftWithin
	// that in which a leaving target has to be left alone.
	MaxApplyDelay time.Duration
	MaxDepartureDelay    time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the fleet's budget of repeats.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadMultiple and LoadSlack bound what a target holds, see placement.Settings.
	LoadMultiple float64
	LoadSlack    float64
	// ColdMultiple and ColdSlack bound what a cold target gets, see placement.Settings.
	ColdMultiple float64
	ColdSlack    float64
	// LinkBytesPerSecond is what the VM's link carries a second, each way; 0 if it is not known.
	LinkBytesPerSecond int64
}
