package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Peer is one router of the fleet.
type Peer struct {
	// ID is the number of the router, unique in the fleet.
	ID uint32 `yaml:"id"`
	// Address is the IP address and port on which the router serves other routers and
	// controllers.
	Address string `yaml:"address"`
	// DataCentre is the data centre of the router.
	DataCentre string `yaml:"dataCentre"`
}

// Platform configures the access to the platform's services.
type Platform struct {
	// URL is the base URL of the table service, object store and VM list.
	URL string `yaml:"url"`
	// Timeout bounds one call to a service.
	Timeout Duration `yaml:"timeout"`
}

// Log configures the event log, which the process writes to standard output.
type Log struct {
	// Level is the lowest level that is written: trace, debug, info, warn or error.
	Level string `yaml:"level"`
}

// Router is the settings file of hemlockdyke-router.
type Router struct {
	// ID is the number of this router. It must be listed in Peers.
	ID uint32 `yaml:"id"`
	// DataCentre is the data centre of this router.
	DataCentre string `yaml:"dataCentre"`
	// Listen holds the addresses on which the router listens.
	Listen RouterListen `yaml:"listen"`
	// Peers lists every router of the fleet, this one included.
	Peers []Peer `yaml:"peers"`
	// Platform configures the access to the platform's services.
	Platform Platform `yaml:"platform"`
	// Limits limits requests and the attempts that serve them.
	Limits Limits `yaml:"limits"`
	// Control configures the control traffic.
	Control Control `yaml:"control"`
	// Shutdown configures a graceful shutdown.
	Shutdown Shutdown `yaml:"shutdown"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// RouterListen holds a router's listen addresses.
type RouterListen struct {
	// Callers is the address to which the platform's balancer forwards callers.
	Callers string `yaml:"callers"`
	// Peers is the address that serves other routers and controllers.
	Peers string `yaml:"peers"`
	// Admin is the address that serves /metrics and /status.
	Admin string `yaml:"admin"`
}

// Limits limits callers' requests and the attempts that serve them.
type Limits struct {
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// MaxHeaderBytes is the size limit of a request header.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// ReadTimeout bounds the time to read a request.
	ReadTimeout Duration `yaml:"readTimeout"`
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline Duration `yaml:"defaultDeadline"`
	// StreamSilenceTimeout is how long a target may send nothing before its attempt fails.
	StreamSilenceTimeout Duration `yaml:"streamSilence"`
	// MaxQueuedRequests is the largest number of requests that may wait for a target.
	MaxQueuedRequests int `yaml:"maxQueued"`
}

// Control configures the intervals and timeouts of the control traffic.
type Control struct {
	// GossipInterval is the mean time between two gossip rounds.
	GossipInterval Duration `yaml:"gossipInterval"`
	// PollInterval is the mean time between two reads of the configuration's latest revision.
	PollInterval Duration `yaml:"pollInterval"`
	// SuspectTimeout is how long a silent router is still considered live. It is at least four
	// gossip intervals: routers pass heartbeats on to each other, and in a fleet of 9 routers a
	// heartbeat is up to four gossip intervals old when it arrives.
	SuspectTimeout Duration `yaml:"suspectAfter"`
	// FreshnessTimeout is how long a router goes on serving when it reaches neither the table
	// service nor a majority of the listed routers.
	FreshnessTimeout Duration `yaml:"freshFor"`
}

// Shutdown configures the times of a graceful shutdown.
type Shutdown struct {
	// BalancerLag is how long the balancer may go on sending requests after /readyz has begun to
	// fail.
	BalancerLag Duration `yaml:"balancerLag"`
	// GracePeriod is how long the router waits for open requests to end.
	GracePeriod Duration `yaml:"grace"`
}

// DefaultRouter returns the defaults for keys that the settings file omits.
func DefaultRouter() Router {
	return Router{
		Platform: defaultPlatform(),
		Limits: Limits{
			MaxBodyBytes:         4 << 20,
			MaxHeaderBytes:       32 << 10,
			ReadTimeout:          Duration(15 * time.Second),
			DefaultDeadline:      Duration(60 * time.Second),
			StreamSilenceTimeout: Duration(3 * time.Second),
			MaxQueuedRequests:    1000,
		},
		Control: Control{
			GossipInterval:   Duration(time.Second),
			PollInterval:     Duration(2 * time.Second),
			SuspectTimeout:   Duration(5 * time.Second),
			FreshnessTimeout: Duration(5 * time.Second),
		},
		Shutdown: Shutdown{
			BalancerLag: Duration(3 * time.Second),
			GracePeriod: Duration(2 * time.Minute),
		},
		Log: Log{Level: "info"},
	}
}

func defaultPlatform() Platform {
	return Platform{Timeout: Duration(2 * time.Second)}
}

// Validate returns the invalid values.
func (r *Router) Validate() []Problem {
	var c checker
	c.positive("id", int64(r.ID))
	c.address("listen.callers", r.Listen.Callers)
	c.address("listen.peers", r.Listen.Peers)
	c.address("listen.admin", r.Listen.Admin)
	c.peers(r.Peers)
	c.listed(r.ID, r.Peers)
	c.platform(r.Platform)
	c.positive("limits.maxBodyBytes", r.Limits.MaxBodyBytes)
	c.positive("limits.maxHeaderBytes", int64(r.Limits.MaxHeaderBytes))
	c.positive("limits.maxQueued", int64(r.Limits.MaxQueuedRequests))
	c.inRange("limits.readTimeout", r.Limits.ReadTimeout, time.Millisecond, time.Hour)
	c.inRange("limits.defaultDeadline", r.Limits.DefaultDeadline, time.Millisecond, time.Hour)
	c.inRange("limits.streamSilence", r.Limits.StreamSilenceTimeout, 10*time.Millisecond, 10*time.Minute)
	c.inRange("control.gossipInterval", r.Control.GossipInterval, 10*time.Millisecond, time.Minute)
	c.inRange("control.pollInterval", r.Control.PollInterval, 10*time.Millisecond, time.Minute)
	c.inRange("control.suspectAfter", r.Control.SuspectTimeout, 4*r.Control.GossipInterval.Std(), 5*time.Minute)
	c.inRange("control.freshFor", r.Control.FreshnessTimeout, r.Control.PollInterval.Std(), 5*time.Minute)
	c.inRange("shutdown.balancerLag", r.Shutdown.BalancerLag, 0, time.Minute)
	c.inRange("shutdown.grace", r.Shutdown.GracePeriod, 0, time.Hour)
	c.level(r.Log)
	return c.problems
}

// Controller is the settings file of hemlockdyke-controller.
type Controller struct {
	// ID is the number of this controller, by convention that of the router on the same VM.
	ID uint32 `yaml:"id"`
	// DataCentre is the data centre of this controller.
	DataCentre string `yaml:"dataCentre"`
	// Listen is the address that serves the resource API.
	Listen string `yaml:"listen"`
	// Peers lists every router of the fleet.
	Peers []Peer `yaml:"peers"`
	// Platform configures the access to the platform's services.
	Platform Platform `yaml:"platform"`
	// LeaseDuration is the duration of a lease on a planned change.
	LeaseDuration Duration `yaml:"lease"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// DefaultController returns the defaults for keys that the settings file omits.
func DefaultController() Controller {
	return Controller{
		Platform:      defaultPlatform(),
		LeaseDuration: Duration(10 * time.Second),
		Log:           Log{Level: "info"},
	}
}

// Validate returns the invalid values.
func (s *Controller) Validate() []Problem {
	var c checker
	c.positive("id", int64(s.ID))
	c.address("listen", s.Listen)
	c.peers(s.Peers)
	c.platform(s.Platform)
	c.inRange("lease", s.LeaseDuration, 100*time.Millisecond, 10*time.Minute)
	c.level(s.Log)
	return c.problems
}

// checker checks values and collects the invalid ones. Its methods take the path of the value's
// key.
type checker struct{ problems []Problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) positive(path string, v int64) {
	if v <= 0 {
		c.add(path, "%d is not above 0", v)
	}
}

func (c *checker) address(path, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(path, "%q is not an IP address and port", v)
	}
}

func (c *checker) inRange(path string, v Duration, minimum, maximum time.Duration) {
	if v.Std() < minimum || v.Std() > maximum {
		c.add(path, "%s is not between %s and %s", v.Std(), minimum, maximum)
	}
}

func (c *checker) platform(p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Scheme == "" || u.Host == "" {
		c.add("platform.url", "%q is not a URL", p.URL)
	}
	c.inRange("platform.timeout", p.Timeout, time.Millisecond, time.Minute)
}

func (c *checker) peers(peers []Peer) {
	if len(peers) == 0 {
		c.add("peers", "is empty")
	}
	seen := make(map[uint32]bool, len(peers))
	for _, p := range peers {
		if p.ID == 0 || seen[p.ID] {
			c.add("peers", "id %d is 0 or listed twice", p.ID)
		}
		seen[p.ID] = true
		c.address("peers", p.Address)
	}
}

// listed checks that a router is one of the peers.
func (c *checker) listed(id uint32, peers []Peer) {
	for _, p := range peers {
		if p.ID == id {
			return
		}
	}
	c.add("id", "%d is not listed in peers", id)
}

func (c *checker) level(l Log) {
	switch l.Level {
	case "trace", "debug", "info", "warn", "error":
	default:
		c.add("log.level", "%q is not trace, debug, info, warn or error", l.Level)
	}
}
