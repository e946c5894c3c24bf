package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

var _ = Describe("the metrics of targets' load reports", func() {
	page := func(g *metrics.Gateway, s gateway.Status) string {
		w := httptest.NewRecorder()
		g.Handler(func() gateway.Status { return s }).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}

	// Guards against operators who can't see why a target is avoided, or that its reports are ignored.
	It("list the targets that reported, and the ignored reports by reason", func() {
		g := metrics.NewGateway(time.Now)
		g.CountIgnoredLoad(targetload.FaultPace)
		g.CountIgnoredLoad(targetload.FaultPace)
		g.CountIgnoredLoad(targetload.FaultLifetime)
		text := page(g, gateway.Status{
			OpenRequests: map[string]int{"a": 1, "b": 2, "c": 3},
			TargetLoads:  map[string]placement.TargetLoad{"b": {Running: 1, Waiting: 4, Pace: 2.5}, "a": {Running: 3, Pace: 1}},
		})
		Expect(text).To(ContainSubstring(`hemlockdyke_target_pace{target="a"} 1
hemlockdyke_target_pace{target="b"} 2.5
hemlockdyke_target_running{target="a"} 3
hemlockdyke_target_running{target="b"} 1
hemlockdyke_target_waiting{target="a"} 0
hemlockdyke_target_waiting{target="b"} 4
`))
		Expect(text).To(ContainSubstring(`hemlockdyke_target_loads_ignored_total{why="lifetime"} 1
hemlockdyke_target_loads_ignored_total{why="pace"} 2
`))
	})

	It("are absent while no target reports", func() {
		Expect(page(metrics.NewGateway(time.Now), gateway.Status{OpenRequests: map[string]int{"a": 1}})).NotTo(ContainSubstring("hemlockdyke_target_"))
	})
})
