// Package explain collects the log lines of one request from the logs of all routers and derives
// the cause of its outcome.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Entry is a log line about a request. Event, a kind of package eventlog, determines which of the
// other fields are set. Durations and ages are in milliseconds.
type Entry struct {
	Event   string    `json:"event"`
	Router  string    `json:"router"`
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Route   string    `json:"route"`

	Attempt        int     `json:"attempt"`
	Target         string  `json:"target"`
	Peer           string  `json:"peer"`
	Rule           string  `json:"rule"`
	OpenRequests   int     `json:"open"`
	Bound          float64 `json:"bound"`
	LoadReportAge  float64 `json:"loads_age"`
	Version        uint64  `json:"version"`
	Fingerprint    string  `json:"fingerprint"`
	Part           string  `json:"part"`
	Ends           int     `json:"ends"`
	Age            float64 `json:"age"`
	ResumeFrom     string  `json:"resume_from"`
	Software       string  `json:"software"`
	Events         int     `json:"events"`
	Resumes        string  `json:"resumes"`
	Hedge          bool    `json:"hedge"`
	Reason         string  `json:"why"`
	Error          string  `json:"error"`
	FailedAfter    float64 `json:"after"`
	Wait           float64 `json:"wait"`
	RetryAfter     float64 `json:"retry_after"`
	RemainingTime  float64 `json:"left"`
	Rank           int     `json:"rank"`
	Code           int     `json:"code"`
	Name           string  `json:"name"`
	Executed       string  `json:"ran"`
	Status         int     `json:"status"`
	Attempts       int     `json:"attempts"`
	FirstByte      float64 `json:"first"`
	Total          float64 `json:"total"`
	TimeBudget     float64 `json:"budget"`
	Retries        int     `json:"repeats"`
	AllowedRetries float64 `json:"allowed"`
	Requests       float64 `json:"requests"`
	Slack          float64 `json:"slack"`
	ReadError      string  `json:"read"`
	Sent           int64   `json:"sent"`
	PanicValue     string  `json:"value"`

	position int // in the input; orders entries with the same time
}

// maxLineBytes is the longest log line that can be read.
const maxLineBytes = 1 << 20

// Read returns the entries of a request, sorted by time. It ignores the text before the first
// brace of a line, such as the time and VM that a log collector adds.
func Read(r io.Reader, request string) ([]Entry, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var out []Entry
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(request)) {
			continue
		}
		var e Entry
		if json.Unmarshal(line[start:], &e) != nil || e.Request != request {
			continue // not an entry of this request
		}
		e.position = len(out)
		out = append(out, e)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].Time.Equal(out[j].Time) {
			return out[i].Time.Before(out[j].Time)
		}
		return out[i].position < out[j].position
	})
	return out, lines.Err()
}

// Print writes the entries of a request as text, and the cause of its outcome.
func Print(w io.Writer, request string, entries []Entry) {
	for _, e := range entries {
		fmt.Fprintf(w, "%s  %-16s %s\n", e.Time.Format("15:04:05.000"), e.Router, e.describe())
	}
	fmt.Fprintf(w, "cause: %s\n", Cause(request, entries))
}

// suspect names what a refused request carries.
func (e Entry) suspect() string {
	if e.Part != "" {
		return fmt.Sprintf("part %s of their prompts (%s)", e.Part, e.Fingerprint)
	}
	return "fingerprint " + e.Fingerprint
}

// describe returns the entry in one sentence.
func (e Entry) describe() string {
	switch e.Event {
	case eventlog.TicketRefused.Name:
		return fmt.Sprintf("the pool's owner refused a ticket after %.0f ms: %d %s; retry after %.0f ms", e.Wait, e.Code, e.Name, e.RetryAfter)
	case eventlog.Placed.Name:
		if e.Rule == string(placement.RuleTicket) {
			return fmt.Sprintf("attempt %d goes to %s by a ticket that took %.0f ms; configuration %d", e.Attempt, e.Target, e.Wait, e.Version)
		}
		text := fmt.Sprintf("attempt %d goes to %s by rule %s: %d open requests of at most %.1f, load report age %.0f ms; desired state %d",
			e.Attempt, e.Target, e.Rule, e.OpenRequests, e.Bound, e.LoadReportAge, e.Version)
		if e.Hedge {
			text += ", beside an attempt whose target is silent"
		}
		if e.Software != "" {
			text += ", software " + e.Software
		}
		if e.ResumeFrom != "" {
			text += ", resumes after event " + e.ResumeFrom
		}
		if e.Resumes != "" {
			text += " a stream that request " + e.Resumes + " began"
		}
		return text
	case eventlog.Forwarded.Name:
		return fmt.Sprintf("attempt %d at %s is passed to router %s", e.Attempt, e.Target, e.Peer)
	case eventlog.NotForwarded.Name:
		return fmt.Sprintf("router %s did not send attempt %d to %s: %s (%s)", e.Peer, e.Attempt, e.Target, e.Reason, e.Error)
	case eventlog.Forwarding.Name:
		return fmt.Sprintf("sends the attempt to %s for another router", e.Target)
	case eventlog.AttemptFailed.Name:
		return fmt.Sprintf("attempt %d failed after %.0f ms: %s", e.Attempt, e.FailedAfter, e.failure())
	case eventlog.RetryDenied.Name:
		return fmt.Sprintf("retry denied: %d recent retries, %.1f allowed for %.0f requests and a slack of %.1f", e.Retries, e.AllowedRetries, e.Requests, e.Slack)
	case eventlog.PoisonRefused.Name:
		return fmt.Sprintf("not sent: %d targets have exited while they executed requests with the %s, suspected for %.0f ms; retry after %.0f ms", e.Ends, e.suspect(), e.Age, e.Wait)
	case eventlog.StreamRefused.Name:
		return e.describeStream()
	case eventlog.NotAdmitted.Name:
		return fmt.Sprintf("not sent to %s: expected wait of %.0f ms behind %d open requests, %.0f ms remaining, rank %d", e.Target, e.Wait, e.OpenRequests, e.RemainingTime, e.Rank)
	case eventlog.TargetSuspended.Name:
		return fmt.Sprintf("%s is suspended: %s", e.Target, e.Reason)
	case eventlog.Finished.Name:
		if e.Status == 0 {
			return fmt.Sprintf("answered by %s, first byte after %.0f ms, end after %.0f of %.0f ms", e.Target, e.FirstByte, e.Total, e.TimeBudget)
		}
		return fmt.Sprintf("answered with status %d, first byte after %.0f ms, end after %.0f of %.0f ms", e.Status, e.FirstByte, e.Total, e.TimeBudget)
	case eventlog.Incomplete.Name:
		return e.describeIncomplete()
	case eventlog.Panic.Name:
		return fmt.Sprintf("the code of router %s panicked: %s", e.Router, e.PanicValue)
	case eventlog.Failed.Name:
		return fmt.Sprintf("ended as %d %s (ran: %s) after %.0f of %.0f ms", e.Code, e.Name, e.Executed, e.Total, e.TimeBudget)
	}
	return e.Event
}

// incompleteTexts describes the values of Entry.Reason of incomplete answers.
var incompleteTexts = map[string]string{
	"caller_left":  "the caller closed or reset its connection",
	"read_failed":  "the router's read beside the handler failed, though the caller had not closed its connection",
	"write_failed": "a write to the caller failed",
	"aborted":      "the router broke off the answer that it had begun",
	"panic":        "the router's code panicked after the answer had begun",
}

// describeIncomplete says why the caller has no complete answer.
func (e Entry) describeIncomplete() string {
	text, ok := incompleteTexts[e.Reason]
	if !ok {
		text = e.Reason
	}
	text = fmt.Sprintf("no complete answer: %s (last read: %s) after %d bytes of the body", text, e.ReadError, e.Sent)
	if e.Error != "" {
		text += ": " + e.Error
	}
	return text
}

// describeStream says which stream can't go on, and why.
func (e Entry) describeStream() string {
	stream := "the stream"
	if e.Resumes != "" {
		stream += " that request " + e.Resumes + " began"
	}
	reason := "its targets are " + e.Reason
	switch e.Reason {
	case code.UnknownStream.Lookup().Name:
		reason = "no router knows which software version began it"
		if e.Resumes == "" && e.Events == 0 {
			reason = "the caller named no request that began it"
		}
	case code.NoSuchVersion.Lookup().Name:
		reason = "no target of the software version that began it takes requests"
	case code.QueueFull.Lookup().Name:
		reason = "the targets of the software version that began it are at the load bound or were tried"
	}
	return fmt.Sprintf("%s can't go on after event %s: %s", stream, e.ResumeFrom, reason)
}

// failureTexts describes the values of Entry.Reason of failed attempts.
var failureTexts = map[string]string{
	"not_sent":       "the target accepted no connection, so the request was not executed",
	"broken":         "the connection to the target broke after the request was sent",
	"restarted":      "the target has restarted since, so the request is no longer executed",
	"withdrawn":      "the target became unavailable before the request was sent: it announced a pause or its shutdown, is cold, or its data centre is evacuated",
	"not_forwarded":  "this router's path to the pool is cut or its quota used up, and no other router sent the request, so it was not executed",
	"forwarder_lost": "the router that was to send the request was lost; it may have sent it",
	"suspected":      "targets have exited while they executed this request, so the attempt was cancelled",
	"silent":         "the target was silent for longer than its answers usually take, and another attempt went on",
	"overtaken":      "not needed, as the silent target went on first",
	"truncated":      "the target's answer was truncated",
	"stream_cut":     "the target broke off the stream",
	"not_resumed":    "the target answered with something else than the rest of the stream",
	"not_sealed":     "the answer has no seal of the target",
	"false_promise":  "the target answered with a status that wrongly guarantees that the request was not executed",
	"too_large":      "the answer was too large",
	"target_error":   "the target answered with an error of its own",
	"turned_away":    "the target refused the request without executing it",
	"wrong_target":   "the address belongs to a different target",
	"deadline":       "the target did not answer before the deadline",
}

// failure returns the target and the reason of a failed attempt.
func (e Entry) failure() string {
	text, ok := failureTexts[e.Reason]
	if !ok {
		text = e.Reason
	}
	text = e.Target + ": " + text
	if e.Error != "" {
		text += " (" + e.Error + ")"
	}
	return text
}

// Cause returns the cause of a request's outcome in one sentence.
func Cause(request string, entries []Entry) string {
	if len(entries) == 0 {
		return fmt.Sprintf("no router logged %s: no router read it completely, or it was refused for its route or key", request)
	}
	var placed, failure, outcome, incomplete, panicked *Entry
	for i := range entries {
		switch e := &entries[i]; e.Event {
		case eventlog.Placed.Name:
			placed = e
		case eventlog.AttemptFailed.Name, eventlog.NotAdmitted.Name, eventlog.PoisonRefused.Name, eventlog.RetryDenied.Name, eventlog.TicketRefused.Name, eventlog.StreamRefused.Name:
			failure = e
		case eventlog.Finished.Name, eventlog.Failed.Name:
			outcome = e
		case eventlog.Incomplete.Name:
			incomplete = e
		case eventlog.Panic.Name:
			panicked = e
		}
	}
	switch {
	case panicked != nil:
		return panicked.describe() + atTarget(placed)
	case incomplete != nil && (outcome == nil || failure == nil || outcome.Event == eventlog.Finished.Name):
		return incomplete.describe() + atTarget(placed)
	case outcome == nil && placed != nil:
		return fmt.Sprintf("router %s stopped logging while attempt %d was at %s: it was killed, lost power or is stalled", placed.Router, placed.Attempt, placed.Target)
	case outcome == nil:
		return fmt.Sprintf("router %s stopped logging before the request ended", entries[len(entries)-1].Router)
	case outcome.Event == eventlog.Finished.Name:
		return answerCause(outcome, placed, failure)
	case code.Code(outcome.Code) == code.CallerGone:
		return fmt.Sprintf("the caller's connection ended after %.0f ms%s: the caller disconnected, or the connection was reset", outcome.Total, atTarget(placed))
	case failure != nil:
		return fmt.Sprintf("%s; ended as %s", strings.TrimSpace(failure.describe()), outcome.Name)
	}
	return fmt.Sprintf("ended as %s%s", outcome.Name, atTarget(placed))
}

// atTarget returns the part of a sentence that names the target of the last attempt, if there is
// one.
func atTarget(placed *Entry) string {
	if placed == nil {
		return ""
	}
	return ", while the request was at " + placed.Target
}

// answerCause returns the cause of an outcome in which the caller got a target's answer.
func answerCause(outcome, placed, failure *Entry) string {
	if outcome.Status >= 400 {
		return fmt.Sprintf("the answer with status %d is the target's own%s", outcome.Status, atTarget(placed))
	}
	if failure != nil {
		return fmt.Sprintf("answered after %.0f ms, because %s", outcome.FirstByte, failure.describe())
	}
	text := fmt.Sprintf("answered; the first byte came after %.0f ms%s", outcome.FirstByte, atTarget(placed))
	if placed == nil || placed.Rule == string(placement.RuleTicket) {
		return text // a ticket doesn't carry the target's open requests
	}
	return fmt.Sprintf("%s with %d open requests there", text, placed.OpenRequests)
}
