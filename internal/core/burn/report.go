package burn

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the service-level burn of the fleet.
type Report struct {
	// Routers is how many of the listed routers answered; the others' requests are missing.
	Routers int   `json:"routers"`
	Listed  int   `json:"listed"`
	Lines   []Row `json:"lines"`
}

// Row is the service level of one team in one pool.
type Row struct {
	Pool             string       `json:"pool"`
	Team             string       `json:"team"`
	ObjectivePercent float64      `json:"objectivePercent"`
	Windows          []WindowRate `json:"windows"`
	FirstTokenP50    int64        `json:"firstTokenP50Ms"`
	FirstTokenP95    int64        `json:"firstTokenP95Ms"`
	FirstTokenP99    int64        `json:"firstTokenP99Ms"`
}

// WindowRate is the burn over one window.
type WindowRate struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
	Rate   float64 `json:"rate"`
}

// Aggregate adds up the samples of many routers.
type Aggregate struct{ series map[Key]*Sample }

// NewAggregate returns an empty Sum.
func NewAggregate() *Aggregate { return &Aggregate{series: make(map[Key]*Sample)} }

// AddSample adds one router's sample. Its histogram may be nil: its counts still hold.
func (s *Aggregate) AddSample(sample Sample) {
	sum, ok := s.series[sample.Key]
	if !ok {
		sum = &Sample{Key: sample.Key, Counts: make([]Count, len(Windows()))}
		s.series[sample.Key] = sum
	}
	for i := range min(len(sum.Counts), len(sample.Counts)) {
		sum.Counts[i].Good += sample.Counts[i].Good
		sum.Counts[i].Bad += sample.Counts[i].Bad
	}
	switch {
	case sample.Histogram == nil:
	case sum.Histogram == nil:
		sum.Histogram = hdrhistogram.Import(sample.Histogram.Export())
	default:
		sum.Histogram.Merge(sample.Histogram)
	}
}

// Rows returns the sums by pool and team, with the burn of each team's objective in percent.
func (s *Aggregate) Rows(objective func(team string) float64) []Row {
	rows := make([]Row, 0, len(s.series))
	for key, sum := range s.series {
		rows = append(rows, sum.row(objective(key.Team)))
	}
	sort.Slice(rows, func(i, j int) bool {
		x, y := rows[i], rows[j]
		return x.Pool < y.Pool || (x.Pool == y.Pool && x.Team < y.Team)
	})
	return rows
}

func (s *Sample) row(objective float64) Row {
	row := Row{Pool: s.Key.Pool, Team: s.Key.Team, ObjectivePercent: objective}
	for i, w := range Windows() {
		row.Windows = append(row.Windows, WindowRate{
			Window: shortDuration(w), Good: s.Counts[i].Good, Bad: s.Counts[i].Bad, Rate: Rate(s.Counts[i], objective),
		})
	}
	if s.Histogram != nil {
		row.FirstTokenP50 = s.Histogram.ValueAtQuantile(50)
		row.FirstTokenP95 = s.Histogram.ValueAtQuantile(95)
		row.FirstTokenP99 = s.Histogram.ValueAtQuantile(99)
	}
	return row
}

func shortDuration(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}
