package daemon

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "daemon") }

var _ = Describe("the use of a link by messages between routers", func() {
	It("is logged by kind and direction since the previous line, and counted", func() {
		socket, err := peer.ListenDigests("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close()
		var logged bytes.Buffer
		now := time.Unix(1000, 0)
		m := metrics.NewGateway(time.Now)
		reporter := &linkReporter{digests: socket, capacity: 1000, log: eventlog.New(zerolog.New(&logged), func() time.Time { return now }), metrics: m,
			status: func() gateway.Status {
				return gateway.Status{AlivePeers: 194, DirectPeers: 3, Feeder: "10.0.0.9:1", FeedAge: 80 * time.Millisecond}
			}}
		socket.SendDigest([]string{"127.0.0.1:9", "127.0.0.1:9"}, &peerv1.Digest{Known: [][]byte{{1, 2, 3}}}, nil)
		var digestBytesOut int64
		Eventually(func() int64 { _, digestBytesOut = socket.TrafficBytes(); return digestBytesOut }).Should(Equal(int64(2*(28+5))), "two digests with their headers")
		reporter.servedCopies.BytesOut.Add(2500)
		reporter.fetchedCopies.BytesIn.Add(700)
		reporter.report()
		Expect(logged.String()).To(MatchRegexp(`"event":"link","peers":194,"heard":3,"feeder":"10.0.0.9:1","fed_ago":80,"unsent":0,"digests_in":0,"digests_out":%d,"copies_in":700,"copies_out":2500,"share":0\.5\d+`, digestBytesOut))
		logged.Reset()
		now = now.Add(linkReportInterval)
		reporter.servedCopies.BytesOut.Add(5)
		reporter.report()
		Expect(logged.String()).To(ContainSubstring(`"digests_out":0,"copies_in":0,"copies_out":5,"share":0.001`))
		w := httptest.NewRecorder()
		m.Handler(func() gateway.Status { return gateway.Status{} }).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		Expect(w.Body.String()).To(ContainSubstring(`hemlockdyke_peer_bytes_total{kind="copies_out"} 2505`))
	})
})
