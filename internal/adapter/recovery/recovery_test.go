package recovery_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/recovery"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "recovery") }

var _ = Describe("a panic in the handler of a request that is no caller's", func() {
	serve := func(lines *strings.Builder, handler http.HandlerFunc) *httptest.Server {
		log := eventlog.New(zerolog.New(zerolog.SyncWriter(lines)), time.Now)
		s := httptest.NewUnstartedServer(recovery.Handler(log, "metrics", handler))
		s.Config.ErrorLog = eventlog.NewServerLog(log, "metrics")
		s.Start()
		return s
	}

	// Guards against a readiness check or a scrape that fails without a line in the log.
	It("is answered and logged", func() {
		var lines strings.Builder
		s := serve(&lines, func(http.ResponseWriter, *http.Request) { panic("test") })
		resp, err := http.Get(s.URL)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		s.Close()
		Expect(lines.String()).To(MatchRegexp(`"event":"panic","where":"metrics","request":"","value":"test"`))
	})

	// Guards against half a page that looks complete.
	It("cuts an answer that has begun", func() {
		var lines strings.Builder
		s := serve(&lines, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic("test")
		})
		resp, err := http.Get(s.URL)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		Expect(err).To(HaveOccurred())
		s.Close()
		Expect(lines.String()).To(ContainSubstring(`"event":"panic"`))
		Expect(lines.String()).NotTo(ContainSubstring("server_error"))
	})
})
