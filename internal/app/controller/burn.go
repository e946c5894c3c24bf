package controller

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// BurnReport is the service-level burn of the fleet.
type BurnReport struct {
	// Routers is how many of the listed routers answered; the others' requests are missing.
	Routers int       `json:"routers"`
	Listed  int       `json:"listed"`
	Lines   []BurnRow `json:"lines"`
}

// BurnRow is the service level of one team in one pool.
type BurnRow struct {
	Pool             string       `json:"pool"`
	Team             string       `json:"team"`
	ObjectivePercent float64      `json:"objectivePercent"`
	Windows          []BurnWindow `json:"windows"`
	FirstTokenP50    int64        `json:"firstTokenP50Ms"`
	FirstTokenP95    int64        `json:"firstTokenP95Ms"`
	FirstTokenP99    int64        `json:"firstTokenP99Ms"`
}

// BurnWindow is the burn over one window.
type BurnWindow struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
	Rate   float64 `json:"rate"`
}

// merged is the sum of one series over the routers.
type merged struct {
	counts    []burn.Count
	histogram *hdrhistogram.Histogram
}

// Burn collects the counts of every reachable router.
func (c *Controller) Burn(ctx context.Context) (BurnReport, error) {
	objectives, err := c.objectives(ctx)
	if err != nil {
		return BurnReport{}, err
	}
	report := BurnReport{Listed: len(c.routers), Lines: []BurnRow{}}
	sums := make(map[burn.Key]*merged)
	for _, reply := range c.replies(ctx, c.routers, &peerv1.BurnRequest{Protocol: ticket.Protocol}) {
		resp, ok := reply.(*peerv1.BurnResponse)
		if !ok {
			continue
		}
		report.Routers++
		for _, s := range resp.GetSeries() {
			merge(sums, s)
		}
	}
	for key, sum := range sums {
		report.Lines = append(report.Lines, sum.row(key, objectives[key.Team]))
	}
	sort.Slice(report.Lines, func(i, j int) bool {
		x, y := report.Lines[i], report.Lines[j]
		return x.Pool < y.Pool || (x.Pool == y.Pool && x.Team < y.Team)
	})
	return report, nil
}

func (c *Controller) objectives(ctx context.Context) (map[string]float64, error) {
	teams, err := c.store.List(ctx, resource.KindTeam)
	if err != nil {
		return nil, err
	}
	out := make(map[string]float64)
	for _, r := range teams {
		var spec resource.TeamSpec
		if resource.Decode(r.Spec, &spec) == nil {
			out[r.Metadata.Name] = spec.ObjectivePercent
		}
	}
	return out, nil
}

// merge adds one router's series. A histogram that does not decode is left out;
// its counts still hold.
func merge(sums map[burn.Key]*merged, s *peerv1.BurnSeries) {
	key := burn.Key{Pool: s.GetPool(), Team: s.GetTeam()}
	sum, ok := sums[key]
	if !ok {
		sum = &merged{counts: make([]burn.Count, len(burn.Windows()))}
		sums[key] = sum
	}
	for i := range min(len(sum.counts), len(s.GetGood()), len(s.GetBad())) {
		sum.counts[i].Good += s.GetGood()[i]
		sum.counts[i].Bad += s.GetBad()[i]
	}
	h, err := hdrhistogram.Decode(s.GetHistogram())
	switch {
	case err != nil:
	case sum.histogram == nil:
		sum.histogram = h
	default:
		sum.histogram.Merge(h)
	}
}

func (m *merged) row(key burn.Key, objective float64) BurnRow {
	row := BurnRow{Pool: key.Pool, Team: key.Team, ObjectivePercent: objective}
	for i, w := range burn.Windows() {
		row.Windows = append(row.Windows, BurnWindow{
			Window: shortDuration(w), Good: m.counts[i].Good, Bad: m.counts[i].Bad,
			Rate: burn.Rate(m.counts[i], objective),
		})
	}
	if m.histogram != nil {
		row.FirstTokenP50 = m.histogram.ValueAtQuantile(50)
		row.FirstTokenP95 = m.histogram.ValueAtQuantile(95)
		row.FirstTokenP99 = m.histogram.ValueAtQuantile(99)
	}
	return row
}

func shortDuration(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}
