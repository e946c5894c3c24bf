package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Peer is one router of the fleet.
type Peer struct {
	// ID is the router's number, unique in the fleet.
	ID uint32 `yaml:"id"`
	// Address is the IP number and port on which the router serves peers.
	Address string `yaml:"address"`
	// DataCentre is where the router runs.
	DataCentre string `yaml:"dataCentre"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base URL of the table service, object store and VM list.
	URL string `yaml:"url"`
	// Timeout bounds one call.
	Timeout Duration `yaml:"timeout"`
}

// Log configures the JSON lines log on standard error.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string `yaml:"level"`
}

// Router is the settings file of hemlockdyke-router.
type Router struct {
	// ID is this router's number; it must be listed in peers.
	ID uint32 `yaml:"id"`
	// DataCentre is where this router runs.
	DataCentre string `yaml:"dataCentre"`
	// Listen holds the addresses to serve on.
	Listen RouterListen `yaml:"listen"`
	// Peers lists every router of the fleet, this one included.
	Peers []Peer `yaml:"peers"`
	// Platform is the platform's service.
	Platform Platform `yaml:"platform"`
	// Limits bounds what callers may send.
	Limits Limits `yaml:"limits"`
	// Control paces the control traffic.
	Control Control `yaml:"control"`
	// Shutdown paces a graceful shutdown.
	Shutdown Shutdown `yaml:"shutdown"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// RouterListen holds a router's listen addresses.
type RouterListen struct {
	// Callers is the address behind the platform's balancer.
	Callers string `yaml:"callers"`
	// Peers is the address for other routers and controllers.
	Peers string `yaml:"peers"`
	// Admin serves /metrics and /debug/status.
	Admin string `yaml:"admin"`
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// ReadTimeout bounds reading one request.
	ReadTimeout Duration `yaml:"readTimeout"`
	// DefaultDeadline applies to requests that name none.
	DefaultDeadline Duration `yaml:"defaultDeadline"`
	// StreamSilence is how long a target may send nothing before the attempt is given up.
	StreamSilence Duration `yaml:"streamSilence"`
	// MaxQueued is the number of requests that may wait for a target.
	MaxQueued int `yaml:"maxQueued"`
}

// Control paces the control traffic.
type Control struct {
	// GossipInterval is the mean time between gossip rounds.
	GossipInterval Duration `yaml:"gossipInterval"`
	// PollInterval is the mean time between reads of the configuration head.
	PollInterval Duration `yaml:"pollInterval"`
	// SuspectAfter is how long a silent router is still considered live. Heartbeats
	// come by way of others: at 9 routers they are up to four gossip intervals old.
	SuspectAfter Duration `yaml:"suspectAfter"`
	// FreshFor is how long a router serves without the table service and without
	// a majority of the listed routers.
	FreshFor Duration `yaml:"freshFor"`
}

// Shutdown paces a graceful shutdown.
type Shutdown struct {
	// BalancerLag is how long the balancer may keep sending after /readyz fails.
	BalancerLag Duration `yaml:"balancerLag"`
	// Grace bounds the wait for open requests.
	Grace Duration `yaml:"grace"`
}

// DefaultRouter returns the settings that apply where the file is silent.
func DefaultRouter() Router {
	return Router{
		Platform: defaultPlatform(),
		Limits: Limits{
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  32 << 10,
			ReadTimeout:     Duration(15 * time.Second),
			DefaultDeadline: Duration(60 * time.Second),
			StreamSilence:   Duration(3 * time.Second),
			MaxQueued:       1000,
		},
		Control: Control{
			GossipInterval: Duration(time.Second),
			PollInterval:   Duration(2 * time.Second),
			SuspectAfter:   Duration(5 * time.Second),
			FreshFor:       Duration(5 * time.Second),
		},
		Shutdown: Shutdown{
			BalancerLag: Duration(3 * time.Second),
			Grace:       Duration(2 * time.Minute),
		},
		Log: Log{Level: "info"},
	}
}

func defaultPlatform() Platform {
	return Platform{Timeout: Duration(2 * time.Second)}
}

// Check reports values out of range.
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
	c.positive("limits.maxQueued", int64(r.Limits.MaxQueued))
	c.span("limits.readTimeout", r.Limits.ReadTimeout, time.Millisecond, time.Hour)
	c.span("limits.defaultDeadline", r.Limits.DefaultDeadline, time.Millisecond, time.Hour)
	c.span("limits.streamSilence", r.Limits.StreamSilence, 10*time.Millisecond, 10*time.Minute)
	c.span("control.gossipInterval", r.Control.GossipInterval, 10*time.Millisecond, time.Minute)
	c.span("control.pollInterval", r.Control.PollInterval, 10*time.Millisecond, time.Minute)
	c.span("control.suspectAfter", r.Control.SuspectAfter, 4*r.Control.GossipInterval.Std(), 5*time.Minute)
	c.span("control.freshFor", r.Control.FreshFor, r.Control.PollInterval.Std(), 5*time.Minute)
	c.span("shutdown.balancerLag", r.Shutdown.BalancerLag, 0, time.Minute)
	c.span("shutdown.grace", r.Shutdown.Grace, 0, time.Hour)
	c.level(r.Log)
	return c.problems
}

// Controller is the settings file of hemlockdyke-controller.
type Controller struct {
	// ID is this controller's number; by habit that of the router on the same VM.
	ID uint32 `yaml:"id"`
	// DataCentre is where this controller runs.
	DataCentre string `yaml:"dataCentre"`
	// Listen is the address of the resource API.
	Listen string `yaml:"listen"`
	// Peers lists every router of the fleet.
	Peers []Peer `yaml:"peers"`
	// Platform is the platform's service.
	Platform Platform `yaml:"platform"`
	// Lease is how long a lease on a planned change lasts.
	Lease Duration `yaml:"lease"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// DefaultController returns the settings that apply where the file is silent.
func DefaultController() Controller {
	return Controller{
		Platform: defaultPlatform(),
		Lease:    Duration(10 * time.Second),
		Log:      Log{Level: "info"},
	}
}

// Check reports values out of range.
func (s *Controller) Validate() []Problem {
	var c checker
	c.positive("id", int64(s.ID))
	c.address("listen", s.Listen)
	c.peers(s.Peers)
	c.platform(s.Platform)
	c.span("lease", s.Lease, 100*time.Millisecond, 10*time.Minute)
	c.level(s.Log)
	return c.problems
}

// checker collects problems.
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
		c.add(path, "%q is not an IP number and port", v)
	}
}

func (c *checker) span(path string, v Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		c.add(path, "%s is not between %s and %s", v.Std(), low, high)
	}
}

func (c *checker) platform(p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Scheme == "" || u.Host == "" {
		c.add("platform.url", "%q is not a URL", p.URL)
	}
	c.span("platform.timeout", p.Timeout, time.Millisecond, time.Minute)
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
