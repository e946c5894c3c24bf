// Package explain joins the log lines of one request over many routers and names the
// cause of its outcome.
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

// Entry is one log line about a request. Durations are in milliseconds.
type Entry struct {
	Event   string    `json:"event"`
	Router  string    `json:"router"`
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Route   string    `json:"route"`

	Attempt        int     `json:"attempt"`
	Target         string  `json:"target"`
	Rule           string  `json:"rule"`
	Open           int     `json:"open"`
	Bound          float64 `json:"bound"`
	LoadReportAge  float64 `json:"loads_age"`
	Version        uint64  `json:"version"`
	Fingerprint    string  `json:"fingerprint"`
	ResumeFrom     string  `json:"resume_from"`
	Reason         string  `json:"why"`
	Error          string  `json:"error"`
	After          float64 `json:"after"`
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
	Budget         float64 `json:"budget"`
	Retries        int     `json:"repeats"`
	AllowedRetries float64 `json:"allowed"`
	Requests       float64 `json:"requests"`
	Slack          float64 `json:"slack"`

	order int
}

// maxLine is the longest log line that is read.
const maxLine = 1 << 20

// Read returns the entries of a request in the order of time. What stands before the
// first brace of a line, such as a collector's own time and machine, is left out.
func Read(r io.Reader, request string) ([]Entry, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	var out []Entry
	for lines.Scan() {
		line := lines.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 || !bytes.Contains(line, []byte(request)) {
			continue
		}
		var e Entry
		if json.Unmarshal(line[at:], &e) != nil || e.Request != request {
			continue // a line of something else
		}
		e.order = len(out)
		out = append(out, e)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].Time.Equal(out[j].Time) {
			return out[i].Time.Before(out[j].Time)
		}
		return out[i].order < out[j].order
	})
	return out, lines.Err()
}

// Print writes the chain of a request and its cause.
func Print(w io.Writer, request string, entries []Entry) {
	for _, e := range entries {
		fmt.Fprintf(w, "%s  %-16s %s\n", e.Time.Format("15:04:05.000"), e.Router, e.describe())
	}
	fmt.Fprintf(w, "cause: %s\n", Cause(request, entries))
}

func (e Entry) describe() string {
	switch e.Event {
	case eventlog.TicketRefused.Name:
		return fmt.Sprintf("the pool's owner granted no ticket after %.0f ms: %d %s; come back after %.0f ms", e.Wait, e.Code, e.Name, e.RetryAfter)
	case eventlog.Placed.Name:
		if e.Rule == string(placement.RuleTicket) {
			return fmt.Sprintf("attempt %d goes to %s by a ticket that took %.0f ms; configuration %d", e.Attempt, e.Target, e.Wait, e.Version)
		}
		text := fmt.Sprintf("attempt %d goes to %s by rule %s: %d open of at most %.1f, by loads %.0f ms old; desired state %d",
			e.Attempt, e.Target, e.Rule, e.Open, e.Bound, e.LoadReportAge, e.Version)
		if e.ResumeFrom != "" {
			text += ", goes on after event " + e.ResumeFrom
		}
		return text
	case eventlog.AttemptFailed.Name:
		return fmt.Sprintf("attempt %d failed after %.0f ms: %s", e.Attempt, e.After, e.why())
	case eventlog.RetryDenied.Name:
		return fmt.Sprintf("no repeat: %d made lately, %.1f allowed for %.0f requests and a slack of %.1f", e.Retries, e.AllowedRetries, e.Requests, e.Slack)
	case eventlog.PoisonRefused.Name:
		return fmt.Sprintf("not sent: targets have ended under requests with the fingerprint %s; come back after %.0f ms", e.Fingerprint, e.Wait)
	case eventlog.NotAdmitted.Name:
		return fmt.Sprintf("not sent to %s: a wait of %.0f ms expected behind %d open, %.0f ms left, rank %d", e.Target, e.Wait, e.Open, e.RemainingTime, e.Rank)
	case eventlog.TargetSuspended.Name:
		return fmt.Sprintf("%s gets no new work for a while: %s", e.Target, e.Reason)
	case eventlog.Finished.Name:
		if e.Status == 0 {
			return fmt.Sprintf("answered by %s, first byte after %.0f ms, end after %.0f of %.0f ms", e.Target, e.FirstByte, e.Total, e.Budget)
		}
		return fmt.Sprintf("answered with status %d, first byte after %.0f ms, end after %.0f of %.0f ms", e.Status, e.FirstByte, e.Total, e.Budget)
	case eventlog.Failed.Name:
		return fmt.Sprintf("ended as %d %s (ran: %s) after %.0f of %.0f ms", e.Code, e.Name, e.Executed, e.Total, e.Budget)
	}
	return e.Event
}

// reasons say what each reason of a failed attempt means.
var reasons = map[string]string{
	"not_sent":      "the target accepted no connection, so nothing ran",
	"broken":        "the connection to the target broke after the request was sent",
	"restarted":     "the target has started again since: nobody works on it any more",
	"withdrawn":     "the target was to get nothing more by the time it was to be sent: it said so, it is cold, or its data centre is evacuated",
	"suspected":     "targets have ended under this request, so it was taken back",
	"silent":        "the target stayed silent for longer than its answers take",
	"truncated":     "the target's answer was cut off",
	"stream_cut":    "the target broke the stream off",
	"not_sealed":    "the answer was not the target's own",
	"false_promise": "the target answered with a status that promises what it does not know",
	"too_large":     "the answer was too large",
	"target_error":  "the target answered with a failure of its own",
	"turned_away":   "the target turned it away without running it",
	"wrong_target":  "another target has the address",
	"deadline":      "the target did not answer before the deadline",
}

func (e Entry) why() string {
	text, ok := reasons[e.Reason]
	if !ok {
		text = e.Reason
	}
	text = e.Target + ": " + text
	if e.Error != "" {
		text += " (" + e.Error + ")"
	}
	return text
}

// Cause names the cause of a request's outcome in one sentence.
func Cause(request string, entries []Entry) string {
	if len(entries) == 0 {
		return fmt.Sprintf("no router logged %s: no router read it whole, or its route or key was refused before it had a route", request)
	}
	var last, failure, end *Entry
	for i := range entries {
		switch e := &entries[i]; e.Event {
		case eventlog.Placed.Name:
			last = e
		case eventlog.AttemptFailed.Name, eventlog.NotAdmitted.Name, eventlog.PoisonRefused.Name, eventlog.RetryDenied.Name, eventlog.TicketRefused.Name:
			failure = e
		case eventlog.Finished.Name, eventlog.Failed.Name:
			end = e
		}
	}
	switch {
	case end == nil && last != nil:
		return fmt.Sprintf("router %s ended while attempt %d was at %s: it was killed, lost power or is frozen", last.Router, last.Attempt, last.Target)
	case end == nil:
		return fmt.Sprintf("router %s ended before the request did", entries[len(entries)-1].Router)
	case end.Event == eventlog.Finished.Name:
		return finished(end, last, failure)
	case code.Code(end.Code) == code.CallerGone:
		return fmt.Sprintf("the caller's connection ended after %.0f ms%s: it left, or the connection was reset", end.Total, at(last))
	case failure != nil:
		return fmt.Sprintf("%s; ended as %s", strings.TrimSpace(failure.describe()), end.Name)
	}
	return fmt.Sprintf("ended as %s%s", end.Name, at(last))
}

func at(placed *Entry) string {
	if placed == nil {
		return ""
	}
	return ", while it was at " + placed.Target
}

func finished(end, last, failure *Entry) string {
	if end.Status >= 400 {
		return fmt.Sprintf("the answer with status %d is the target's own%s", end.Status, at(last))
	}
	if failure != nil {
		return fmt.Sprintf("answered after %.0f ms, because %s", end.FirstByte, failure.describe())
	}
	text := fmt.Sprintf("answered; the first byte came after %.0f ms%s", end.FirstByte, at(last))
	if last == nil || last.Rule == string(placement.RuleTicket) {
		return text // a ticket does not tell what the target has open
	}
	return fmt.Sprintf("%s with %d open there", text, last.Open)
}
