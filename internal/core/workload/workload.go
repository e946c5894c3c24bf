// Package workload estimates the work of requests with prompts: how many tokens a target will put out,
// how long the request will hold a slot and how much memory it will need. It learns from the answers
// of each route. Estimates order requests under shortage, so they must be comparable within a pool
// rather than exact.
package workload

import (
	"math"
	"time"
)

// Request describes the work that a request announces. Figures come from callers and may be false.
type Request struct {
	PromptTokens int
	// UnreadTokens are the prompt tokens that the target must prefill itself. Before placement they
	// are unknown; callers then pass PromptTokens.
	UnreadTokens    int
	MaxOutputTokens int // 0 if unknown
	HintTokens      int // the caller's estimate of the output tokens; 0 if unknown
}

// Estimate is the estimated work of a request.
type Estimate struct {
	OutputTokens float64
	SlotTime     time.Duration // from sending the request to the end of its answer
	MemoryTokens int           // prompt and output tokens
	// IsLearned is true if the route has had answers. Before, the output tokens are an assumption, often
	// several times too high.
	IsLearned bool

	prompt, unread float64 // as used for the estimate
	hint           float64 // 0 if there is none or it is false
	maxOutput      float64 // 0 if unknown or false
	// relative is SlotTime as a multiple of that of the route's mean request; 0 in an Estimate that
	// no Estimator has made.
	relative float64
}

// Outcome is what a complete answer shows about the work of its request.
type Outcome struct {
	Events         int           // events of the stream
	TokensPerEvent int           // output tokens in one event; 0 if unknown, which counts as 1
	FirstEvent     time.Duration // from sending the request to the first event
	Total          time.Duration // from sending the request to the end of the answer
}

// Bounds of estimates and of the figures that are taken from requests and answers.
const (
	// MaxTokens is the largest number of tokens that a request may announce; a larger figure is false.
	// It is ten times the largest context window in use.
	MaxTokens = 10_000_000
	// MinSlotTime and MaxSlotTime bound SlotTime.
	MinSlotTime = time.Millisecond
	MaxSlotTime = time.Hour

	minTokenTime = 10 * time.Microsecond
	maxTokenTime = time.Second
)

// Estimates before any answer has been seen.
const (
	defaultOutputTokens = 256.0
	defaultPromptTokens = 1024.0
	defaultFirstEvent   = 100 * time.Millisecond
	defaultTokenTime    = 10 * time.Millisecond
)

const (
	// memory is the number of answers after which a learned figure has mostly forgotten an older one.
	memory = 100
	// priorAnswers is how many answers the assumed variances count for. With fewer, the first two or
	// three answers of a route would decide how far hints are trusted.
	priorAnswers = 8
	// priorVariance is the assumed variance of the logarithms of output tokens and of actual / hint:
	// a factor of 2 either way is usual.
	priorVariance = 0.48
	// maxLogRatio bounds the logarithm of actual / hint, so that one absurd hint does not outweigh
	// the others. It is a factor of 64.
	maxLogRatio = 4.16
	// maxRouteFactor bounds an estimate to between a quarter and four times the route's mean, so that
	// a false hint can't make a request look free or exclude it.
	maxRouteFactor = 4.0
)

// mean is a mean that forgets: plain over the first answers, then exponentially decaying.
type mean struct {
	value float64
	count float64 // answers, at most memory
}

func (m *mean) add(x float64) {
	m.count = min(m.count+1, memory)
	m.value += (x - m.value) / m.count
}

// spread is the mean and the variance of logarithms.
type spread struct {
	mean     mean
	variance float64
}

func (s *spread) add(x float64) {
	diff := x - s.mean.value
	if s.mean.count == 0 {
		diff, s.variance = 0, priorVariance
	}
	s.mean.add(x)
	weight := 1 / min(s.mean.count+priorAnswers, memory)
	s.variance += weight * (diff*(x-s.mean.value) - s.variance)
}

// routeState is what is known of a route's requests.
type routeState struct {
	usedAt     time.Time
	output     mean   // output tokens
	logOutput  spread // logarithm of the output tokens
	hintRatio  spread // logarithm of actual / hint
	prompt     mean
	unread     mean
	firstEvent mean // seconds
	work       workHistogram
	accuracy   Accuracy
}

// meanOutput returns the mean output tokens of the route, or an assumption before any answer.
func (s *routeState) meanOutput(maxOutput float64) float64 {
	switch {
	case s.output.count > 0:
		return s.output.value
	case maxOutput > 0:
		return maxOutput / 2
	}
	return defaultOutputTokens
}

// hintedOutput returns the expected output tokens given a hint. In logarithms, the route's answers
// and the hint's errors are about normal, so the hint and the mean are weighed by their precision.
// The plain product of the hint and the mean of actual / hint is worse than the route's mean alone if
// hints err more than answers differ: with hints off by a factor of e^1.2 and answers by e^0.8 (one
// standard deviation), the 90th percentile of the error was 5.5 instead of 4.1; weighed it is 3.2.
func (s *routeState) hintedOutput(mean, hint float64) float64 {
	logMean, answerVariance := math.Log(mean), priorVariance
	if s.logOutput.mean.count > 0 {
		// The mean of a log-normal variable is above its median, at which hints are right.
		logMean, answerVariance = s.logOutput.mean.value+s.logOutput.variance/2, s.logOutput.variance
	}
	ratio, hintVariance := 0.0, priorVariance
	if s.hintRatio.mean.count > 0 {
		// The first few ratios are mixed with the assumption that hints are right at the median.
		ratio = s.hintRatio.mean.value * s.hintRatio.mean.count / (s.hintRatio.mean.count + priorAnswers)
		hintVariance = s.hintRatio.variance
	}
	weight := 0.5
	if sum := answerVariance + hintVariance; sum > 0 {
		weight = answerVariance / sum
	}
	return mean * math.Exp(weight*(math.Log(hint)+ratio-logMean))
}

// maxRoutes bounds the routes with state of their own, which takes about 600 bytes each. Further
// routes of a pool share one state until a route has not been used for retainRoute.
const (
	maxRoutes   = 256
	retainRoute = 10 * time.Minute
)

// Estimator estimates the work of a pool's requests. It is not safe for concurrent use.
type Estimator struct {
	routes map[string]*routeState
	shared routeState // of the routes that have no state of their own
	// tokenSeconds and tokens are decaying sums over answers: the time from the first event to the
	// end, and the output tokens in it.
	tokenSeconds, tokens float64
	// unreadCovariance and unreadVariance are decaying means over answers, of deviations from the
	// means of their route. Their quotient is the time to prefill a token.
	unreadCovariance, unreadVariance float64
	// evictAfter is when a route may be replaced at the earliest. It bounds how often all routes are
	// visited.
	evictAfter time.Time
}

// NewEstimator returns an Estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{routes: make(map[string]*routeState)}
}

func (e *Estimator) route(name string) *routeState {
	if s, ok := e.routes[name]; ok {
		return s
	}
	return &e.shared
}

// Estimate returns the estimated work of a request of a route. It changes no state.
func (e *Estimator) Estimate(route string, r Request) Estimate {
	s := e.route(route)
	out := Estimate{prompt: s.orMeanPrompt(r.PromptTokens)}
	out.unread = out.prompt
	if isCount(r.UnreadTokens) {
		out.unread = min(float64(r.UnreadTokens), out.prompt)
	}
	if isCount(r.MaxOutputTokens) {
		out.maxOutput = float64(r.MaxOutputTokens)
	}
	if isCount(r.HintTokens) && (out.maxOutput == 0 || float64(r.HintTokens) <= out.maxOutput) {
		out.hint = float64(r.HintTokens)
	}
	out.IsLearned = s.output.count > 0
	mean := s.meanOutput(out.maxOutput)
	out.OutputTokens = mean
	if out.hint > 0 {
		out.OutputTokens = clamp(s.hintedOutput(mean, out.hint), mean/maxRouteFactor, mean*maxRouteFactor)
	}
	if out.maxOutput > 0 {
		out.OutputTokens = min(out.OutputTokens, out.maxOutput)
	}
	out.OutputTokens = clamp(out.OutputTokens, 1, MaxTokens)
	out.MemoryTokens = int(out.prompt) + int(math.Ceil(out.OutputTokens))
	meanFirst := s.meanFirstEvent()
	tokenTime := e.tokenTime()
	slotSeconds := e.firstEvent(s, meanFirst, out.unread) + out.OutputTokens*tokenTime
	out.SlotTime = time.Duration(clamp(slotSeconds, MinSlotTime.Seconds(), MaxSlotTime.Seconds()) * float64(time.Second))
	out.relative = slotSeconds / (meanFirst + mean*tokenTime)
	return out
}

// isCount reports whether n is a credible number of tokens other than 0.
func isCount(n int) bool { return n > 0 && n <= MaxTokens }

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }

// orMeanPrompt returns a prompt size, or the route's mean if it is false or missing.
func (s *routeState) orMeanPrompt(tokens int) float64 {
	switch {
	case isCount(tokens):
		return float64(tokens)
	case s.prompt.count > 0:
		return math.Round(s.prompt.value)
	}
	return defaultPromptTokens
}

func (s *routeState) meanFirstEvent() float64 {
	if s.firstEvent.count == 0 {
		return defaultFirstEvent.Seconds()
	}
	return max(s.firstEvent.value, MinSlotTime.Seconds())
}

// firstEvent returns the expected time to the first event in seconds: the route's mean, corrected for
// the tokens to prefill.
func (e *Estimator) firstEvent(s *routeState, mean, unread float64) float64 {
	if s.unread.count == 0 || e.unreadVariance == 0 {
		return mean
	}
	slope := clamp(e.unreadCovariance/e.unreadVariance, 0, maxTokenTime.Seconds())
	return clamp(mean+slope*(unread-s.unread.value), mean/maxRouteFactor, mean*maxRouteFactor)
}

// tokenTime returns the time per output token of the pool in seconds.
func (e *Estimator) tokenTime() float64 {
	if e.tokens == 0 {
		return defaultTokenTime.Seconds()
	}
	return clamp(e.tokenSeconds/e.tokens, minTokenTime.Seconds(), maxTokenTime.Seconds())
}

// Percentile returns the share of the route's recent requests that had less work than the estimate
// shows, from 0 to 1. It compares with the route's mean at the time of each estimate, so that a pool
// that becomes slower does not make all its requests look large. Without answers it is 0.5.
func (e *Estimator) Percentile(route string, estimate Estimate) float64 {
	if estimate.relative <= 0 {
		return 0.5
	}
	return e.route(route).work.percentile(estimate.relative)
}

// Record learns from a complete answer to a request of a route with the given estimate. An outcome
// without events or with impossible times is ignored.
func (e *Estimator) Record(now time.Time, route string, estimate Estimate, o Outcome) {
	if o.Events <= 0 || o.FirstEvent < 0 || o.Total < o.FirstEvent || o.Total > MaxSlotTime {
		return
	}
	perEvent := float64(max(o.TokensPerEvent, 1))
	tokens := float64(o.Events) * perEvent
	if estimate.maxOutput > 0 {
		tokens = min(tokens, estimate.maxOutput) // the last event may have fewer tokens
	}
	tokens = clamp(tokens, 1, MaxTokens)
	s := e.stateToRecord(now, route)
	if estimate.relative > 0 {
		s.accuracy.SlotTime.add(o.Total.Seconds() / max(estimate.SlotTime, MinSlotTime).Seconds())
		s.accuracy.OutputTokens.add(tokens / max(estimate.OutputTokens, 1))
		s.work.add(estimate.relative)
		e.learnPrefill(s, estimate.unread, o.FirstEvent.Seconds())
		s.prompt.add(estimate.prompt)
		s.unread.add(estimate.unread)
	}
	if estimate.hint > 0 {
		s.hintRatio.add(clamp(math.Log(tokens/estimate.hint), -maxLogRatio, maxLogRatio))
	}
	s.output.add(tokens)
	s.logOutput.add(math.Log(tokens))
	s.firstEvent.add(o.FirstEvent.Seconds())
	if after := tokens - perEvent; after > 0 {
		const keep = 1 - 1.0/memory
		e.tokenSeconds = keep*e.tokenSeconds + (o.Total - o.FirstEvent).Seconds()
		e.tokens = keep*e.tokens + after
	}
}

// learnPrefill learns how the time to the first event grows with the tokens to prefill, from the
// deviations from the route's means: routes differ in more than their prompts.
func (e *Estimator) learnPrefill(s *routeState, unread, firstEvent float64) {
	if s.unread.count == 0 {
		return
	}
	deviation := unread - s.unread.value
	const keep = 1 - 1.0/memory
	e.unreadCovariance = keep*e.unreadCovariance + deviation*(firstEvent-s.firstEvent.value)
	e.unreadVariance = keep*e.unreadVariance + deviation*deviation
}

// stateToRecord returns the state of a route, which it creates if there is room.
func (e *Estimator) stateToRecord(now time.Time, route string) *routeState {
	s, ok := e.routes[route]
	if !ok {
		if len(e.routes) >= maxRoutes && !e.evictUnused(now) {
			return &e.shared
		}
		s = &routeState{}
		e.routes[route] = s
	}
	s.usedAt = now
	return s
}

// evictUnused removes the routes that have not been used for retainRoute, and reports whether there
// were any.
func (e *Estimator) evictUnused(now time.Time) bool {
	if now.Before(e.evictAfter) {
		return false
	}
	oldest := now
	for name, s := range e.routes {
		if now.Sub(s.usedAt) >= retainRoute {
			delete(e.routes, name)
		} else if s.usedAt.Before(oldest) {
			oldest = s.usedAt
		}
	}
	if len(e.routes) < maxRoutes {
		return true
	}
	e.evictAfter = oldest.Add(retainRoute)
	return false
}
