// Package load drives a running fleet with multi-turn chats and plain service calls. It checks that
// every answer is complete and belongs to its request, and that no service call was executed twice.
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
	RouterURLs      []string // base URLs
	EngineURLs      []string // base URLs of the engines, see package standin/engine
	ServiceURL      string   // base URL of one instance of package standin/service
	Model           string   // model that chats ask for
	ServicePool     string   // pool of the stand-in service
	Teams           []string
	Chats           int
	TurnsPerChat    int
	ConcurrentChats int
	Seed            uint64
	// MeanThinkTime is the mean time between two turns of a chat.
	MeanThinkTime time.Duration
}

// Report is the result of a load.
type Report struct {
	Complete          int `json:"whole"`    // chat answers that were complete and belonged to their request
	Truncated         int `json:"cut"`      // answers that were incomplete but ended as if complete
	Mismatched        int `json:"crossed"`  // answers that belonged to another request
	Unanswered        int `json:"lost"`     // requests without an answer after all attempts
	Duplicated        int `json:"doubled"`  // service calls that were executed more than once
	OutcomeUnknown    int `json:"unknown"`  // service calls whose answer said that the outcome is unknown
	ServiceAnswers    int `json:"services"` // service calls answered with success
	Retries           int `json:"repeated"` // retries by the caller
	BrokenConnections int `json:"broken"`   // retries after a connection broke during a request
	// ConnectionErrors holds the first errors of BrokenConnections.
	ConnectionErrors []string `json:"brokenBy,omitempty"`
	ReusableTokens   int      `json:"reusable"`  // prompt tokens that earlier turns of the same chat had sent
	CachedTokens     int      `json:"cached"`    // prompt tokens served from cache
	SamplesOverBound int      `json:"overBound"` // samples in which an engine exceeded the load bound
	Samples          int      `json:"samples"`
	// SkewMax is the largest sampled ratio of an engine's open requests to the mean of all engines.
	SkewMax float64 `json:"skewMax"`
	// FirstTokenP95 is the 95th percentile of the time to the first token in milliseconds.
	FirstTokenP95 float64 `json:"firstTokenP95Ms"`
}

// HasFailures reports whether an answer was truncated, mismatched or missing, or a service call
// was executed more than once.
func (r Report) HasFailures() bool { return r.Truncated+r.Mismatched+r.Unanswered+r.Duplicated > 0 }

// driver runs a load and collects its report.
type driver struct {
	settings         Settings
	balancer         *balancer
	client           *http.Client
	mu               sync.Mutex
	report           Report
	firstTokenMillis []float64
}

// Run runs all chats of a load, through routers that are ready, and returns the report. An error
// means that a stand-in's counters could not be read; failures of requests are in the report.
func Run(ctx context.Context, s Settings) (Report, error) {
	d := &driver{settings: s, balancer: newBalancer(s.RouterURLs), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.ConcurrentChats}}}
	cachedBefore, err := d.cachedTokens(ctx)
	if err != nil {
		return d.report, err
	}
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { d.sampleEngines(backgroundCtx) })
	background.Go(func() { d.balancer.runHealthChecks(backgroundCtx) })
	d.runChats(ctx)
	stopBackground()
	background.Wait()
	cachedAfter, err := d.cachedTokens(ctx)
	if err != nil {
		return d.report, err
	}
	d.report.CachedTokens = cachedAfter - cachedBefore
	d.report.FirstTokenP95 = stats.Quantile(d.firstTokenMillis, 0.95)
	return d.report, d.countDuplicates(ctx)
}

// runChats runs all chats, at most ConcurrentChats at a time.
func (d *driver) runChats(ctx context.Context) {
	queue := make(chan int)
	var workers sync.WaitGroup
	for range d.settings.ConcurrentChats {
		workers.Go(func() {
			for chat := range queue {
				d.runChat(ctx, chat)
			}
		})
	}
	for chat := range d.settings.Chats {
		queue <- chat
	}
	close(queue)
	workers.Wait()
}

// runChat runs all turns of a chat. The prompt grows with every turn, and each turn starts at a
// random router. Every third turn is followed by a service call.
func (d *driver) runChat(ctx context.Context, chat int) {
	rnd := rand.New(rand.NewPCG(d.settings.Seed, uint64(chat)))
	team := d.settings.Teams[chat%len(d.settings.Teams)]
	var history strings.Builder
	promptTokens := 0
	for turn := range d.settings.TurnsPerChat {
		fmt.Fprintf(&history, "chat %d turn %d: %s. ", chat, turn, strings.Repeat("bulletin ", 20+rnd.IntN(60)))
		maxTokens := 10 + rnd.IntN(30)
		d.sendTurn(ctx, rnd, team, fmt.Sprintf("chat-%d", chat), history.String(), maxTokens)
		d.updateReport(func(r *Report) { r.ReusableTokens += promptTokens })
		promptTokens = history.Len()/4 + 1
		if turn%3 == 0 {
			d.callService(ctx, rnd, team, fmt.Sprintf("notice-%d-%d", chat, turn))
		}
		sleep(ctx, time.Duration(rnd.Float64()*2*float64(d.settings.MeanThinkTime)))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// updateReport applies update to the report under the lock.
func (d *driver) updateReport(update func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.report)
}

// maxConnectionErrors limits the errors that a report holds.
const maxConnectionErrors = 5

// maxAttempts is the number of attempts of a request, each through another router if one is ready.
const maxAttempts = 6

// Outcomes of a request that are not retried.
var (
	errTruncated      = errors.New("answer is incomplete but ended as complete")
	errMismatched     = errors.New("answer belongs to another request")
	errOutcomeUnknown = errors.New("outcome of the service call is unknown")
)

// sendTurn sends one turn of a chat.
func (d *driver) sendTurn(ctx context.Context, rnd *rand.Rand, team, chat, prompt string, maxTokens int) {
	body, err := json.Marshal(wire.ChatRequest{
		Model: d.settings.Model, Stream: true, MaxTokens: maxTokens,
		Messages: []wire.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return
	}
	d.callWithRetries(ctx, rnd, func(router string) error {
		return d.streamCompletion(ctx, router, team, chat, prompt, maxTokens, body)
	}, func(r *Report) { r.Complete++ })
}

// callWithRetries retries a call through other routers until it succeeds or ends with an error that
// is not retried. It counts the outcome in the report; recordSuccess counts a success.
func (d *driver) callWithRetries(ctx context.Context, rnd *rand.Rand, call func(router string) error, recordSuccess func(*Report)) {
	start := rnd.IntN(len(d.settings.RouterURLs))
	for attempt := range maxAttempts {
		err := call(d.balancer.pickRouter(start + attempt))
		switch {
		case err == nil:
			d.updateReport(recordSuccess)
			return
		case errors.Is(err, errTruncated):
			d.updateReport(func(r *Report) { r.Truncated++ })
			return
		case errors.Is(err, errMismatched):
			d.updateReport(func(r *Report) { r.Mismatched++ })
			return
		case errors.Is(err, errOutcomeUnknown):
			d.updateReport(func(r *Report) { r.OutcomeUnknown++ })
			return
		}
		d.updateReport(func(r *Report) {
			r.Retries++
			if isBrokenConnection(err) {
				r.BrokenConnections++
				if len(r.ConnectionErrors) < maxConnectionErrors {
					r.ConnectionErrors = append(r.ConnectionErrors, err.Error())
				}
			}
		})
		sleep(ctx, time.Duration(attempt+1)*100*time.Millisecond)
	}
	d.updateReport(func(r *Report) { r.Unanswered++ })
}

// isBrokenConnection reports whether a request was interrupted: its connection broke, or its stream
// ended without an end marker. A refused connection does not count, as it carried no request.
func isBrokenConnection(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	var transport *url.Error
	return errors.As(err, &transport) || errors.Is(err, wire.ErrStreamTruncated)
}

// streamCompletion sends a chat request to a router and checks every token of the streamed answer.
func (d *driver) streamCompletion(ctx context.Context, router, team, chat, prompt string, maxTokens int, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderTeam, team)
	req.Header.Set(wire.HeaderChatID, chat)
	startedAt := time.Now()
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("router answered with status %d", resp.StatusCode)
	}
	received, endOffset := 0, -1
	err = wire.ReadEvents(resp.Body, func(data []byte) error {
		var chunk wire.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		switch {
		case len(chunk.Choices) == 0:
			return errors.Newf("stream contains an error event: %s", data)
		case chunk.IsLast():
			endOffset = chunk.Offset
			return nil
		case chunk.Content() != engine.AnswerToken(prompt, received):
			return errMismatched
		}
		if received == 0 {
			d.recordFirstToken(time.Since(startedAt))
		}
		received++
		return nil
	})
	if err != nil {
		return err // the caller can see that the stream failed, so it retries
	}
	if received != maxTokens || endOffset != maxTokens {
		return errTruncated
	}
	return nil
}

// recordFirstToken records the time from the start of an attempt to its first token.
func (d *driver) recordFirstToken(elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstTokenMillis = append(d.firstTokenMillis, float64(elapsed.Microseconds())/1000)
}

// callService makes a service call under an idempotency key, which must not be executed twice.
func (d *driver) callService(ctx context.Context, rnd *rand.Rand, team, key string) {
	d.callWithRetries(ctx, rnd, func(router string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost,
			router+"/services/"+d.settings.ServicePool+"/notices", strings.NewReader(key))
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
		return serviceError(resp.StatusCode, data)
	}, func(r *Report) { r.ServiceAnswers++ })
}

// serviceError returns nil for a successful service call and errOutcomeUnknown for a call that must
// not be retried. Any other error may be retried, also an answer that the call is still in
// progress.
func serviceError(status int, data []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var body wire.ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error.Ran == "unknown" && body.Error.Name != "in_progress" {
		return errOutcomeUnknown
	}
	return errors.Newf("router answered with status %d: %s", status, data)
}

// countDuplicates counts the service calls that were executed more than once.
func (d *driver) countDuplicates(ctx context.Context) error {
	runs := make(map[string]int)
	if err := d.getJSON(ctx, d.settings.ServiceURL+"/runs", &runs); err != nil {
		return err
	}
	for _, n := range runs {
		if n > 1 {
			d.report.Duplicated++
		}
	}
	return nil
}

// getJSON decodes the JSON body at a URL into result.
func (d *driver) getJSON(ctx context.Context, url string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(result)
}
