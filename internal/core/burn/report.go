package burn

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the burn rates of the fleet.
type Report struct {
	// Routers is how many of the listed routers replied. The requests of the others are missing.
	Routers int   `json:"routers"`
	Listed  int   `json:"listed"`
	Lines   []Row `json:"lines"`
}

// Row holds the service level of one team in one pool. The percentiles of the first-token time
// cover all requests since the routers started.
type Row struct {
	Pool             string       `json:"pool"`
	Team             string       `json:"team"`
	ObjectivePercent float64      `json:"objectivePercent"`
	Windows          []WindowRate `json:"windows"`
	FirstTokenP50    int64        `json:"firstTokenP50Ms"`
	FirstTokenP95    int64        `json:"firstTokenP95Ms"`
	FirstTokenP99    int64        `json:"firstTokenP99Ms"`
}

// WindowRate holds the counts and the burn rate of one window.
type WindowRate struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
	Rate   float64 `json:"rate"`
}

// Aggregate sums up the samples of several routers.
type Aggregate struct{ series map[Key]*Sample }

// NewAggregate returns an empty Aggregate.
func NewAggregate() *Aggregate { return &Aggregate{series: make(map[Key]*Sample)} }

// AddSample adds one router's sample. If its histogram is nil, only the counts are added.
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

// Rows returns the sums, ordered by pool and team. objective returns the objective of a team in
// percent.
func (s *Aggregate) Rows(objective func(team string) float64) []Row {
	rows := make([]Row, 0, len(s.series))
	for key, sum := range s.series {
		rows = append(rows, sum.newRow(objective(key.Team)))
	}
	sort.Slice(rows, func(i, j int) bool {
		x, y := rows[i], rows[j]
		return x.Pool < y.Pool || (x.Pool == y.Pool && x.Team < y.Team)
	})
	return rows
}

func (s *Sample) newRow(objective float64) Row {
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
