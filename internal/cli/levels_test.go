package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/cli"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

var _ = Describe("the burn report from routers' metrics", func() {
	serve := func(results ...gateway.Result) string {
		m := metrics.NewGateway(time.Now)
		for _, r := range results {
			m.RecordResult(r)
		}
		s := httptest.NewServer(m.Handler(func() gateway.Status { return gateway.Status{OpenRequests: map[string]int{`odd"name`: 1}} }))
		DeferCleanup(s.Close)
		return s.URL + "/metrics"
	}
	result := func(first time.Duration, c code.Code, status int) gateway.Result {
		return gateway.Result{
			Route: "r", Pool: "chat", Team: `north "east"`, Class: "rank_1", Code: c, Status: status,
			FirstByteTime: first, TotalTime: 2 * first, Objective: 300 * time.Millisecond,
		}
	}
	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		exit := cli.Run(append([]string{"report", "burn"}, args...), &out, &errOut)
		return exit, out.String(), errOut.String()
	}

	It("adds up the metrics of all routers and names those that did not answer", func() {
		one := serve(result(100*time.Millisecond, code.OK, 200), result(400*time.Millisecond, code.OK, 200))
		two := serve(result(100*time.Millisecond, code.OK, 200), result(0, code.QueueFull, 0), result(0, code.CallerGone, 0))
		exit, out, errOut := run("--metrics", one, "--metrics", two, "--metrics", "http://127.0.0.1:1/metrics")
		Expect(exit).To(Equal(cli.ExitOK), errOut)
		Expect(out).To(ContainSubstring("from 2 of 3 routers"))
		Expect(out).To(MatchRegexp(`chat +north "east" +99% +5m +2 +2 +50\.00 +1\d\dms +4\d\dms`))
		Expect(errOut).To(ContainSubstring("7004"))
	})

	It("counts an error answer of a target as bad and uses the objective of the flag", func() {
		url := serve(result(10*time.Millisecond, code.OK, 500), result(10*time.Millisecond, code.OK, 200))
		_, out, _ := run("--metrics", url, "--objective", "50")
		Expect(out).To(MatchRegexp(`50% +5m +1 +1 +1\.00`))
	})

	It("fails without readable metrics or with an invalid objective", func() {
		exit, _, errOut := run("--metrics", "http://127.0.0.1:1/metrics")
		Expect(exit).To(Equal(cli.ExitFailed))
		Expect(errOut).To(ContainSubstring("7004"))
		exit, _, errOut = run("--metrics", serve(), "--objective", "100")
		Expect(exit).To(Equal(cli.ExitUsage))
		Expect(errOut).To(ContainSubstring("--objective"))
		garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("{not metrics"))
		}))
		DeferCleanup(garbage.Close)
		exit, _, _ = run("--metrics", garbage.URL)
		Expect(exit).To(Equal(cli.ExitFailed))
	})
})
