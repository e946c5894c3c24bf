package controller

import (
	"context"

	"github.com/HdrHistogram/hdrhistogram-go"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// BurnReport sums up the service level counts of all routers that reply. Routers that don't reply
// are missing from the sums, but count as listed.
func (c *Controller) BurnReport(ctx context.Context) (burn.Report, error) {
	objectives, err := c.teamObjectives(ctx)
	if err != nil {
		return burn.Report{}, err
	}
	report := burn.Report{Listed: len(c.routers)}
	sum := burn.NewAggregate()
	for _, reply := range c.callAll(ctx, c.routers, &peerv1.BurnRequest{Protocol: ticket.ProtocolVersion}) {
		resp, ok := reply.(*peerv1.BurnResponse)
		if !ok {
			continue
		}
		report.Routers++
		for _, s := range resp.GetSeries() {
			sum.AddSample(decodeSample(s))
		}
	}
	report.Lines = sum.Rows(func(team string) float64 { return objectives[team] })
	return report, nil
}

// teamObjectives returns the objective of each team in percent, by the team's name.
func (c *Controller) teamObjectives(ctx context.Context) (map[string]float64, error) {
	teams, err := c.store.List(ctx, resource.KindTeam)
	if err != nil {
		return nil, err
	}
	out := make(map[string]float64)
	for _, r := range teams {
		var spec resource.TeamSpec
		if resource.DecodeSpec(r.Spec, &spec) == nil {
			out[r.Metadata.Name] = spec.ObjectivePercent
		}
	}
	return out, nil
}

// decodeSample decodes one router's series. If the histogram can't be decoded, the sample has the
// counts only.
func decodeSample(s *peerv1.BurnSeries) burn.Sample {
	out := burn.Sample{Key: burn.Key{Pool: s.GetPool(), Team: s.GetTeam()}}
	for i := range min(len(s.GetGood()), len(s.GetBad())) {
		out.Counts = append(out.Counts, burn.Count{Good: s.GetGood()[i], Bad: s.GetBad()[i]})
	}
	if h, err := hdrhistogram.Decode(s.GetHistogram()); err == nil {
		out.Histogram = h
	}
	return out
}
