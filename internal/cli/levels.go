package cli

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// scrapeTimeout bounds the read of one router's metrics, which takes milliseconds.
const scrapeTimeout = 3 * time.Second

// scrapeBurn adds up the service levels of routers by their metrics. One that can't be
// read is named on errOut and missing from the report, which counts both.
func (a *App) scrapeBurn(routers []string, objective float64) (burn.Report, error) {
	client := &http.Client{Timeout: scrapeTimeout}
	report := burn.Report{Listed: len(routers)}
	sum := burn.NewSum()
	for _, router := range routers {
		samples, err := scrapeLevels(client, router)
		if err != nil {
			fmt.Fprintln(a.errOut, code.New(code.RouterSilent, "%s: %s", router, err))
			continue
		}
		report.Routers++
		for _, s := range samples {
			sum.Add(s)
		}
	}
	if report.Routers == 0 {
		return report, code.New(code.RouterSilent, "no router's metrics can be read")
	}
	report.Lines = sum.Rows(func(string) float64 { return objective })
	return report, nil
}

func scrapeLevels(client *http.Client, router string) ([]burn.Sample, error) {
	resp, err := client.Get(router)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // read whole or not at all
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	return readLevels(resp.Body)
}

// readLevels reads the service levels out of a router's metrics.
func readLevels(r io.Reader) ([]burn.Sample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	samples := make(map[burn.Key]*burn.Sample)
	for _, m := range families[metrics.ServiceLevelRequests].GetMetric() {
		labels := labelsOf(m)
		s := sampleFor(samples, labels)
		n := uint64(m.GetUntyped().GetValue())
		for i, window := range burn.Windows() {
			switch {
			case labels["window"] != window.String():
			case labels["outcome"] == metrics.OutcomeGood:
				s.Counts[i].Good = n
			case labels["outcome"] == metrics.OutcomeBad:
				s.Counts[i].Bad = n
			}
		}
	}
	for _, m := range families[metrics.ServiceLevelFirstByte].GetMetric() {
		if err := readFirst(sampleFor(samples, labelsOf(m)), m.GetHistogram()); err != nil {
			return nil, err
		}
	}
	out := make([]burn.Sample, 0, len(samples))
	for _, s := range samples {
		out = append(out, *s)
	}
	return out, nil
}

func labelsOf(m *dto.Metric) map[string]string {
	out := make(map[string]string, len(m.GetLabel()))
	for _, l := range m.GetLabel() {
		out[l.GetName()] = l.GetValue()
	}
	return out
}

func sampleFor(samples map[burn.Key]*burn.Sample, labels map[string]string) *burn.Sample {
	key := burn.Key{Pool: labels["pool"], Team: labels["team"]}
	s, ok := samples[key]
	if !ok {
		s = &burn.Sample{Key: key, Counts: make([]burn.Count, len(burn.Windows())), Histogram: burn.NewHistogram()}
		samples[key] = s
	}
	return s
}

func readFirst(s *burn.Sample, h *dto.Histogram) error {
	before := uint64(0)
	for _, b := range h.GetBucket() {
		n := b.GetCumulativeCount() - before
		before = b.GetCumulativeCount()
		if n == 0 || math.IsInf(b.GetUpperBound(), 1) {
			continue
		}
		if err := s.Histogram.RecordValues(int64(b.GetUpperBound()), int64(n)); err != nil {
			return errors.Wrapf(err, "bucket %s of %s/%s", strconv.FormatFloat(b.GetUpperBound(), 'g', -1, 64), s.Key.Pool, s.Key.Team)
		}
	}
	return nil
}
