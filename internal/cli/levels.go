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

// scrapeTimeout bounds the read of one router's metrics, which takes a few milliseconds.
const scrapeTimeout = 3 * time.Second

// scrapeBurn computes the burn report from the metrics of routers. A router whose metrics can't
// be read is reported on errOut and left out. The report has the numbers of listed and of read
// routers.
func (a *App) scrapeBurn(metricsURLs []string, objective float64) (burn.Report, error) {
	client := &http.Client{Timeout: scrapeTimeout}
	report := burn.Report{Listed: len(metricsURLs)}
	total := burn.NewAggregate()
	for _, url := range metricsURLs {
		samples, err := scrapeServiceLevels(client, url)
		if err != nil {
			fmt.Fprintln(a.errOut, code.New(code.RouterSilent, "%s: %s", url, err))
			continue
		}
		report.Routers++
		for _, s := range samples {
			total.AddSample(s)
		}
	}
	if report.Routers == 0 {
		return report, code.New(code.RouterSilent, "no router's metrics can be read")
	}
	report.Lines = total.Rows(func(string) float64 { return objective })
	return report, nil
}

func scrapeServiceLevels(client *http.Client, url string) ([]burn.Sample, error) {
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // an error of Close loses no data
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("metrics answered with status %d", resp.StatusCode)
	}
	return readServiceLevels(resp.Body)
}

// readServiceLevels extracts the service levels from a router's metrics.
func readServiceLevels(r io.Reader) ([]burn.Sample, error) {
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
		if err := readFirstByte(sampleFor(samples, labelsOf(m)), m.GetHistogram()); err != nil {
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

// sampleFor returns the sample of the labels' pool and team, and adds it if it is missing.
func sampleFor(samples map[burn.Key]*burn.Sample, labels map[string]string) *burn.Sample {
	key := burn.Key{Pool: labels["pool"], Team: labels["team"]}
	s, ok := samples[key]
	if !ok {
		s = &burn.Sample{Key: key, Counts: make([]burn.Count, len(burn.Windows())), Histogram: burn.NewHistogram()}
		samples[key] = s
	}
	return s
}

// readFirstByte adds the buckets of a first-byte histogram to a sample. The bucket without an
// upper bound is ignored.
func readFirstByte(s *burn.Sample, h *dto.Histogram) error {
	previous := uint64(0)
	for _, b := range h.GetBucket() {
		n := b.GetCumulativeCount() - previous
		previous = b.GetCumulativeCount()
		if n == 0 || math.IsInf(b.GetUpperBound(), 1) {
			continue
		}
		if err := s.Histogram.RecordValues(int64(b.GetUpperBound()), int64(n)); err != nil {
			return errors.Wrapf(err, "record bucket %s of %s/%s", strconv.FormatFloat(b.GetUpperBound(), 'g', -1, 64), s.Key.Pool, s.Key.Team)
		}
	}
	return nil
}
