// Package load drives a running fleet with returning chats and plain service
// calls, and checks every answer: whole, the caller's own, and not run twice.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
	"github.com/hemlockdyke/hemlockdyke/internal/stats"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Settings describe a load.
type Settings struct {
	Routers  []string // base URLs
	Engines  []string // base URLs of the stand-in engines
	Service  string   // base URL of one instance of the stand-in service
	Model    string
	Pool     string // service pool
	Teams    []string
	Chats    int
	Turns    int
	Parallel int
	Seed     uint64
	// Pause is the mean pause between two turns of a chat.
	Pause time.Duration
}

// Report is the outcome of a load.
type Report struct {
	Whole    int `json:"whole"`    // answers that were complete and the caller's own
	Cut      int `json:"cut"`      // shown as whole but not complete
	Crossed  int `json:"crossed"`  // another request's answer
	Lost     int `json:"lost"`     // no answer after all tries
	Doubled  int `json:"doubled"`  // service calls that ran more than once
	Unknown  int `json:"unknown"`  // service calls answered as outcome unknown
	Services int `json:"services"` // service calls answered
	Repeated int `json:"repeated"` // tries beyond the first, by the caller
	Broken   int `json:"broken"`   // of these, after a connection broke under a request
	// BrokenBy holds the first errors of broken connections.
	BrokenBy  []string `json:"brokenBy,omitempty"`
	Reusable  int      `json:"reusable"`  // prompt tokens that chats had built before
	Cached    int      `json:"cached"`    // of these, served from cache
	OverBound int      `json:"overBound"` // samples in which an engine was above the bound
	Samples   int      `json:"samples"`
	// SkewMax is the largest sampled ratio of an engine's open requests to the mean.
	SkewMax float64 `json:"skewMax"`
	// FirstTokenP95 is the 95th percentile in milliseconds.
	FirstTokenP95 float64 `json:"firstTokenP95Ms"`
}

// Failed reports whether an answer was cut, crossed, lost or doubled.
func (r Report) Failed() bool { return r.Cut+r.Crossed+r.Lost+r.Doubled > 0 }

type driver struct {
	settings Settings
	balancer *balancer
	client   *http.Client
	mu       sync.Mutex
	report   Report
	first    []float64
}

// Run drives the load to its end, through routers that are ready.
func Run(ctx context.Context, s Settings) (Report, error) {
	d := &driver{settings: s, balancer: newBalancer(s.Routers), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Parallel}}}
	before, err := d.cached(ctx)
	if err != nil {
		return d.report, err
	}
	sampling, stop := context.WithCancel(ctx)
	var sampler sync.WaitGroup
	sampler.Go(func() { d.sample(sampling) })
	sampler.Go(func() { d.balancer.watch(sampling) })
	d.chats(ctx)
	stop()
	sampler.Wait()
	after, err := d.cached(ctx)
	if err != nil {
		return d.report, err
	}
	d.report.Cached = after - before
	d.report.FirstTokenP95 = stats.Quantile(d.first, 0.95)
	return d.report, d.countDoubled(ctx)
}

func (d *driver) chats(ctx context.Context) {
	work := make(chan int)
	var workers sync.WaitGroup
	for range d.settings.Parallel {
		workers.Go(func() {
			for chat := range work {
				d.chat(ctx, chat)
			}
		})
	}
	for chat := range d.settings.Chats {
		work <- chat
	}
	close(work)
	workers.Wait()
}

// chat runs one chat to its end: its history grows with every turn, and each
// turn comes in through another router.
func (d *driver) chat(ctx context.Context, chat int) {
	rnd := rand.New(rand.NewPCG(d.settings.Seed, uint64(chat)))
	team := d.settings.Teams[chat%len(d.settings.Teams)]
	var history strings.Builder
	built := 0
	for turn := range d.settings.Turns {
		fmt.Fprintf(&history, "chat %d turn %d: %s. ", chat, turn, strings.Repeat("bulletin ", 20+rnd.IntN(60)))
		tokens := 10 + rnd.IntN(30)
		d.turn(ctx, rnd, team, fmt.Sprintf("chat-%d", chat), history.String(), tokens)
		d.count(func(r *Report) { r.Reusable += built })
		built = history.Len()/4 + 1
		if turn%3 == 0 {
			d.serviceCall(ctx, rnd, team, fmt.Sprintf("notice-%d-%d", chat, turn))
		}
		pause(ctx, time.Duration(rnd.Float64()*2*float64(d.settings.Pause)))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *driver) count(f func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.report)
}

// maxErrors bounds the errors that a report holds.
const maxErrors = 5

// maxTries is how often a caller asks, each time through another router.
const maxTries = 6

var (
	errCut     = errors.New("answer cut")
	errCrossed = errors.New("answer of another request")
	errUnknown = errors.New("outcome unknown")
)

func (d *driver) turn(ctx context.Context, rnd *rand.Rand, team, chat, prompt string, tokens int) {
	body, err := json.Marshal(wire.ChatRequest{
		Model: d.settings.Model, Stream: true, MaxTokens: tokens,
		Messages: []wire.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return
	}
	d.try(ctx, rnd, func(router string) error {
		return d.complete(ctx, router, team, chat, prompt, tokens, body)
	}, func(r *Report) { r.Whole++ })
}

// try repeats a call through other routers until it is answered.
func (d *driver) try(ctx context.Context, rnd *rand.Rand, call func(router string) error, done func(*Report)) {
	first := rnd.IntN(len(d.settings.Routers))
	for n := range maxTries {
		err := call(d.balancer.pick(first + n))
		switch {
		case err == nil:
			d.count(done)
			return
		case errors.Is(err, errCut):
			d.count(func(r *Report) { r.Cut++ })
			return
		case errors.Is(err, errCrossed):
			d.count(func(r *Report) { r.Crossed++ })
			return
		case errors.Is(err, errUnknown):
			d.count(func(r *Report) { r.Unknown++ })
			return
		}
		d.count(func(r *Report) {
			r.Repeated++
			if broke(err) {
				r.Broken++
				if len(r.BrokenBy) < maxErrors {
					r.BrokenBy = append(r.BrokenBy, err.Error())
				}
			}
		})
		pause(ctx, time.Duration(n+1)*100*time.Millisecond)
	}
	d.count(func(r *Report) { r.Lost++ })
}

// broke reports whether a request was cut off: its connection broke or its stream
// ended without an end marker. A connection that is refused never carried one.
func broke(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	var transport *url.Error
	return errors.As(err, &transport) || errors.Is(err, wire.ErrStreamTruncated)
}

func (d *driver) complete(ctx context.Context, router, team, chat, prompt string, tokens int, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderTeam, team)
	req.Header.Set(wire.HeaderChatID, chat)
	began := time.Now()
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("router answered %d", resp.StatusCode)
	}
	got, last := 0, -1
	err = wire.ReadEvents(resp.Body, func(data []byte) error {
		var chunk wire.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		switch {
		case len(chunk.Choices) == 0:
			return errors.Newf("error event: %s", data)
		case chunk.IsLast():
			last = chunk.Offset
			return nil
		case chunk.Content() != engine.Word(prompt, got):
			return errCrossed
		}
		if got == 0 {
			d.firstToken(time.Since(began))
		}
		got++
		return nil
	})
	if err != nil {
		return err // an end that the caller can see, so it asks again
	}
	if got != tokens || last != tokens {
		return errCut
	}
	return nil
}

func (d *driver) firstToken(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first = append(d.first, float64(after.Microseconds())/1000)
}

// serviceCall makes a call that must not run twice, under a key of its own.
func (d *driver) serviceCall(ctx context.Context, rnd *rand.Rand, team, key string) {
	d.try(ctx, rnd, func(router string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost,
			router+"/services/"+d.settings.Pool+"/notices", strings.NewReader(key))
		if err != nil {
			return err
		}
		req.Header.Set(wire.HeaderTeam, team)
		req.Header.Set(wire.HeaderIdempotencyKey, key)
		req.Header.Set(wire.HeaderPriority, "urgent")
		resp, err := d.client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		return serviceOutcome(resp.StatusCode, data)
	}, func(r *Report) { r.Services++ })
}

func serviceOutcome(status int, data []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var body wire.ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error.Ran == "unknown" && body.Error.Name != "in_progress" {
		return errUnknown
	}
	return errors.Newf("router answered %d: %s", status, data)
}

func (d *driver) countDoubled(ctx context.Context) error {
	runs := make(map[string]int)
	if err := d.getJSON(ctx, d.settings.Service+"/runs", &runs); err != nil {
		return err
	}
	for _, n := range runs {
		if n > 1 {
			d.report.Doubled++
		}
	}
	return nil
}

func (d *driver) getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
