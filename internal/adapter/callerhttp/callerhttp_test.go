package callerhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/callerhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/service"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, uint32, proto.Message) (proto.Message, error) {
	return nil, context.DeadlineExceeded
}

type nopObserver struct{}

func (nopObserver) RecordResult(router.Request, router.Result) {}

// testRouter is a router in the test process, with two stand-in engines and a stand-in service.
type testRouter struct {
	table       *faketable.Table
	service     *service.Server
	engines     []*httptest.Server
	serviceHTTP *httptest.Server
	callers     *httptest.Server
	endServing  context.CancelCauseFunc // ends the contexts of all requests
}

func resourceOf(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}, Spec: []byte(spec)}
}

func startTestRouter() *testRouter {
	r := &testRouter{table: faketable.New(), service: service.New()}
	r.serviceHTTP = httptest.NewServer(r.service.Handler())
	resources := []resource.Resource{
		resourceOf(resource.KindPool, "drafting", `{"protocol":"model","model":"drafter"}`),
		resourceOf(resource.KindPool, "notices", `{"protocol":"service"}`),
		resourceOf(resource.KindTeam, "dealers", `{}`),
		resourceOf(resource.KindTarget, "notices-0", `{"pool":"notices","address":"`+address(r.serviceHTTP)+`"}`),
	}
	for _, name := range []string{"engine-0", "engine-1"} {
		e := httptest.NewServer(engine.New(engine.Settings{Name: name, CacheTokens: 1000}).Handler())
		r.engines = append(r.engines, e)
		resources = append(resources, resourceOf(resource.KindTarget, name, `{"pool":"drafting","address":"`+address(e)+`"}`))
	}
	store := configstore.New(r.table, time.Now)
	_, _, err := store.AcceptChange(context.Background(), "base", resources)
	Expect(err).NotTo(HaveOccurred())
	r.serve(store)
	return r
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (r *testRouter) serve(store *configstore.Store) {
	ctx, stop := context.WithCancel(context.Background())
	log := eventlog.Nop()
	control := router.NewControl(core.New(time.Now(), core.DefaultSettings(1, []uint32{1})),
		unreachablePeers{}, store, target.NewOrderClient(time.Second), log, time.Now)
	forwarder := router.NewForwarder(control, target.New(target.DefaultSettings()), log, time.Now, 300*time.Millisecond)
	claims := router.NewClaims(r.table, control, 1, 1, log, time.Now)
	s := callerhttp.New(callerhttp.Settings{MaxBodyBytes: 4096, DefaultDeadline: 5 * time.Second},
		control, forwarder, claims, nopObserver{}, log, time.Now)
	serving, endServing := context.WithCancelCause(context.Background())
	r.endServing = endServing
	r.callers = httptest.NewUnstartedServer(s.Handler())
	r.callers.Config.BaseContext = func(net.Listener) context.Context { return serving }
	r.callers.Start()
	go control.Run(ctx)
	DeferCleanup(func() {
		r.callers.Close()
		r.serviceHTTP.CloseClientConnections()
		for _, e := range r.engines {
			e.CloseClientConnections()
		}
		stop()
	})
	Eventually(func() int { return r.get("/readyz").StatusCode }, "5s", "10ms").Should(Equal(200))
}

func (r *testRouter) get(path string) *http.Response {
	resp, err := http.Get(r.callers.URL + path)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp
}

// post sends a request of the team "dealers" and returns the answer and its body. headers are
// pairs of name and value.
func (r *testRouter) post(path, body string, headers ...string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, r.callers.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(wire.HeaderTeam, "dealers")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var out bytes.Buffer
	_, err = out.ReadFrom(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, out.String()
}

// put sends a PUT request to a stand-in server, to set its faults.
func put(server *httptest.Server, path, body string) {
	req, err := http.NewRequest(http.MethodPut, server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

// setEngineFaults sets the same faults at every engine.
func (r *testRouter) setEngineFaults(body string) {
	for _, e := range r.engines {
		put(e, "/faults", body)
	}
}

// executions returns how often the service executed each request, by key.
func (r *testRouter) executions() map[string]int {
	resp, err := http.Get(r.serviceHTTP.URL + "/runs")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	out := make(map[string]int)
	Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out
}

func errorCode(body string) int {
	var e wire.ErrorBody
	Expect(json.Unmarshal([]byte(body), &e)).To(Succeed(), body)
	return e.Error.Code
}

const chatBody = `{"model":"drafter","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`

func fullAnswer() string {
	var b strings.Builder
	for i := range 5 {
		b.WriteString(engine.AnswerToken("hello", i))
	}
	return b.String()
}

var _ = Describe("chat completions", func() {
	chatContent := func(r *testRouter) string {
		resp, body := r.post("/v1/chat/completions", chatBody)
		Expect(resp.StatusCode).To(Equal(200), body)
		var c wire.Completion
		Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
		return c.Choices[0].Message.Content
	}

	It("are answered completely with and without streaming", func() {
		r := startTestRouter()
		Expect(chatContent(r)).To(Equal(fullAnswer()))
		_, body := r.post("/v1/chat/completions", strings.Replace(chatBody, `"max`, `"stream":true,"max`, 1))
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// Guards against missing or repeated tokens when an engine closes the connection after two
	// tokens and another engine resumes the stream.
	It("resume at the next token after a truncated stream", func() {
		r := startTestRouter()
		r.setEngineFaults(`{"cutAfter":2}`)
		Expect(chatContent(r)).To(Equal(fullAnswer()))
	})

	// Guards against a caller that gets the answer to another request, when an engine answers
	// with the id of another attempt.
	It("never return an answer to another attempt", func() {
		r := startTestRouter()
		r.setEngineFaults(`{"crossOnce":true}`)
		Expect(chatContent(r)).To(Equal(fullAnswer()))
	})

	// Guards against a stream that hangs forever, when a middlebox drops the connection and no
	// error is ever reported.
	It("continue on a new connection after a connection goes silent", func() {
		r := startTestRouter()
		put(r.engines[0], "/faults", `{"silent":true}`)
		for range 4 {
			Expect(chatContent(r)).To(Equal(fullAnswer()))
		}
	})

	It("are refused as not executed if every engine refuses them", func() {
		r := startTestRouter()
		r.setEngineFaults(`{"refuse":true}`)
		resp, body := r.post("/v1/chat/completions", chatBody)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(body).To(ContainSubstring(`"ran":"no"`))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("end with an error event and no end marker if no engine completes them", func() {
		r := startTestRouter()
		r.setEngineFaults(`{"silent":true}`)
		_, body := r.post("/v1/chat/completions", strings.Replace(chatBody, `"max`, `"stream":true,"max`, 1), wire.HeaderDeadline, "900")
		Expect(body).NotTo(ContainSubstring("[DONE]"))
		Expect(body).To(ContainSubstring(`"error"`))
	})
})

var _ = Describe("requests that are open at the end of a planned stop", func() {
	// Guards against connections that end without an answer with a router that could still tell what it knows.
	DescribeTable("are answered, and as not executed only if that is true", func(faults, body string, status int, expected ...string) {
		r := startTestRouter()
		r.setEngineFaults(faults)
		type reply struct {
			resp *http.Response
			body string
		}
		got := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			resp, text := r.post("/v1/chat/completions", body, wire.HeaderDeadline, "4500")
			got <- reply{resp, text}
		}()
		time.Sleep(150 * time.Millisecond)
		r.endServing(shutdown.ErrStopping)
		var answer reply
		Eventually(got, "1s").Should(Receive(&answer))
		Expect(answer.resp.StatusCode).To(Equal(status))
		for _, text := range expected {
			Expect(answer.body).To(ContainSubstring(text))
		}
		Expect(answer.body).NotTo(ContainSubstring("[DONE]"))
	},
		Entry("sent to a silent engine", `{"silent":true}`, chatBody, 502, `"code":4004`, `"ran":"unknown"`),
		Entry("a stream that a silent engine has not begun", `{"silent":true}`, strings.Replace(chatBody, `"max`, `"stream":true,"max`, 1), 502, `"code":4004`),
		Entry("refused by every engine", `{"refuse":true}`, chatBody, 503, `"ran":"no"`),
	)
})

var _ = Describe("service requests", func() {
	It("are executed once per key, and a repeated request gets the recorded answer", func() {
		r := startTestRouter()
		_, first := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k1")
		_, again := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k1")
		Expect(again).To(Equal(first))
		Expect(r.executions()).To(HaveKeyWithValue("key/k1", 1))
		resp, body := r.post("/services/notices/send", "other", wire.HeaderIdempotencyKey, "k1")
		Expect(resp.StatusCode).To(Equal(422))
		Expect(errorCode(body)).To(Equal(1006))
	})

	// Guards against a request that is executed twice. The service executes the request and drops
	// the connection, and then the router retries it, or the HTTP transport does so on its own
	// because of the Idempotency-Key header.
	It("are never retried after the service may have executed them", func() {
		r := startTestRouter()
		for _, body := range []string{"x", ""} {
			// A successful request leaves an idle connection. The transport retries only requests
			// that it sent over a reused connection.
			put(r.serviceHTTP, "/faults", `{}`)
			r.post("/services/notices/send", body, wire.HeaderIdempotencyKey, "first"+body)
			put(r.serviceHTTP, "/faults", `{"dropAfterRead":true}`)
			resp, text := r.post("/services/notices/send", body, wire.HeaderIdempotencyKey, "k2"+body)
			Expect(resp.StatusCode).To(Equal(502))
			Expect(errorCode(text)).To(Equal(4001))
			Expect(r.executions()).To(HaveKeyWithValue("key/k2"+body, 1))
		}
		put(r.serviceHTTP, "/faults", `{}`)
		_, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k2x")
		Expect(errorCode(text)).To(Equal(4001), "a later request with the same key is not executed either")
	})

	// Guards against a caller that waits until its deadline, when the service reads the request
	// and the connection goes silent.
	It("end as outcome unknown if the service goes silent", func() {
		r := startTestRouter()
		put(r.serviceHTTP, "/faults", `{"silent":true}`)
		_, text := r.post("/services/notices/send", "x")
		Expect(errorCode(text)).To(Equal(4001))
	})

	It("release their key if the service refuses them", func() {
		r := startTestRouter()
		put(r.serviceHTTP, "/faults", `{"refuse":true}`)
		_, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k3")
		Expect(text).To(ContainSubstring(`"ran":"no"`))
		put(r.serviceHTTP, "/faults", `{}`)
		resp, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k3")
		Expect(resp.StatusCode).To(Equal(200), text)
	})

	// Guards against the execution of a request whose key can't be recorded.
	It("with a key are refused as not executed while the table service is down", func() {
		r := startTestRouter()
		r.table.ChooseFault = func(bool) faketable.Fault { return faketable.Refused }
		resp, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k4")
		Expect(errorCode(text)).To(Equal(2006))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.executions()).NotTo(HaveKey("key/k4"))
	})

	DescribeTable("are executed at most once if a write of the claim fails",
		func(fault faketable.Fault) {
			r := startTestRouter()
			writes := 0
			r.table.ChooseFault = func(write bool) faketable.Fault {
				if write {
					writes++
				}
				if write && writes == 1 {
					return fault
				}
				return faketable.NoFault
			}
			for range 3 {
				r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k5")
			}
			Expect(r.executions()).To(HaveKeyWithValue("key/k5", 1))
		},
		Entry("lost reply", faketable.ReplyLost),
		Entry("lost write", faketable.WriteLost),
		Entry("delayed write", faketable.WriteDelayed),
		Entry("refused write", faketable.Refused),
	)
})

var _ = Describe("invalid requests", func() {
	DescribeTable("get a result code and leave the router ready",
		func(path, body string, wantCode int, headers ...string) {
			r := startTestRouter()
			_, text := r.post(path, body, headers...)
			Expect(errorCode(text)).To(Equal(wantCode))
			Expect(r.get("/readyz").StatusCode).To(Equal(200))
		},
		Entry("malformed body", "/v1/chat/completions", "\x00{{", 1001),
		Entry("body too large", "/v1/chat/completions", strings.Repeat("x", 5000), 1002),
		Entry("unknown team", "/v1/chat/completions", chatBody, 1003, wire.HeaderTeam, "nobody"),
		Entry("unknown model", "/v1/chat/completions", `{"model":"x"}`, 1004),
		Entry("unknown pool", "/services/x/y", "", 1004),
		Entry("service request to a model pool", "/services/drafting/y", "", 1004),
		Entry("invalid priority", "/v1/chat/completions", chatBody, 1005, wire.HeaderPriority, "now"),
		Entry("invalid deadline", "/v1/chat/completions", chatBody, 1005, wire.HeaderDeadline, "-1"),
		Entry("idempotency key too long", "/services/notices/x", "", 1005, wire.HeaderIdempotencyKey, strings.Repeat("k", 200)),
		Entry("unknown path", "/nothing", "", 1007),
	)
})

func FuzzChatBody(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req wire.ChatRequest
		if json.Unmarshal(data, &req) == nil {
			_, _ = req.Prompt(), req.AnswerTokens()
		}
		_ = wire.ReadEvents(bytes.NewReader(data), func([]byte) error { return nil })
	})
}
