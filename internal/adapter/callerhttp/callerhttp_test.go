package callerhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
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
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/service"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

type noPeers struct{}

func (noPeers) Call(context.Context, uint32, proto.Message) (proto.Message, error) {
	return nil, context.DeadlineExceeded
}

type observer struct{}

func (observer) Observe(router.Request, router.Result) {}

// rig is one router in this process, with a stand-in engine and service.
type rig struct {
	table   *faketable.Table
	service *service.Server
	engines []*httptest.Server
	plain   *httptest.Server
	callers *httptest.Server
}

func resourceOf(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}, Spec: []byte(spec)}
}

func newRig() *rig {
	r := &rig{table: faketable.New(), service: service.New()}
	r.plain = httptest.NewServer(r.service.Handler())
	resources := []resource.Resource{
		resourceOf(resource.KindPool, "drafting", `{"protocol":"model","model":"drafter"}`),
		resourceOf(resource.KindPool, "notices", `{"protocol":"service"}`),
		resourceOf(resource.KindTeam, "dealers", `{}`),
		resourceOf(resource.KindTarget, "notices-0", `{"pool":"notices","address":"`+address(r.plain)+`"}`),
	}
	for _, name := range []string{"engine-0", "engine-1"} {
		e := httptest.NewServer(engine.New(engine.Settings{Name: name, CacheTokens: 1000}).Handler())
		r.engines = append(r.engines, e)
		resources = append(resources, resourceOf(resource.KindTarget, name, `{"pool":"drafting","address":"`+address(e)+`"}`))
	}
	store := configstore.New(r.table, time.Now)
	_, _, err := store.AcceptChange(context.Background(), "base", resources)
	Expect(err).NotTo(HaveOccurred())
	r.start(store)
	return r
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (r *rig) start(store *configstore.Store) {
	ctx, stop := context.WithCancel(context.Background())
	log := eventlog.Nop()
	control := router.NewControl(core.New(time.Now(), core.DefaultSettings(1, []uint32{1})),
		noPeers{}, store, target.NewOrders(time.Second), log, time.Now)
	traffic := router.NewForwarder(control, target.New(target.DefaultSettings()), log, time.Now, 300*time.Millisecond)
	claims := router.NewClaims(r.table, control, 1, 1, log, time.Now)
	s := callerhttp.New(callerhttp.Settings{MaxBodyBytes: 4096, DefaultDeadline: 5 * time.Second},
		control, traffic, claims, observer{}, log, time.Now)
	r.callers = httptest.NewServer(s.Handler())
	go control.Run(ctx)
	DeferCleanup(func() {
		r.callers.Close()
		r.plain.CloseClientConnections()
		for _, e := range r.engines {
			e.CloseClientConnections()
		}
		stop()
	})
	Eventually(func() int { return r.get("/readyz").StatusCode }, "5s", "10ms").Should(Equal(200))
}

func (r *rig) get(path string) *http.Response {
	resp, err := http.Get(r.callers.URL + path)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp
}

// post sends a request and returns its status and whole body.
func (r *rig) post(path, body string, headers ...string) (*http.Response, string) {
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

func put(server *httptest.Server, path, body string) {
	req, err := http.NewRequest(http.MethodPut, server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

// faults puts the same faults in force at every engine.
func (r *rig) faults(body string) {
	for _, e := range r.engines {
		put(e, "/faults", body)
	}
}

func (r *rig) runs() map[string]int {
	resp, err := http.Get(r.plain.URL + "/runs")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	out := make(map[string]int)
	Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out
}

func codeIn(body string) int {
	var e wire.ErrorBody
	Expect(json.Unmarshal([]byte(body), &e)).To(Succeed(), body)
	return e.Error.Code
}

const chat = `{"model":"drafter","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`

func wholeAnswer() string {
	var b strings.Builder
	for i := range 5 {
		b.WriteString(engine.AnswerToken("hello", i))
	}
	return b.String()
}

var _ = Describe("chat completions", func() {
	answer := func(r *rig) string {
		resp, body := r.post("/v1/chat/completions", chat)
		Expect(resp.StatusCode).To(Equal(200), body)
		var c wire.Completion
		Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
		return c.Choices[0].Message.Content
	}

	It("are answered whole, streamed or not", func() {
		r := newRig()
		Expect(answer(r)).To(Equal(wholeAnswer()))
		_, body := r.post("/v1/chat/completions", strings.Replace(chat, `"max`, `"stream":true,"max`, 1))
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// Symptom: half an answer looks whole, or a token appears twice. Sequence: the
	// engine closes the connection after two tokens; another one resumes.
	It("resume at the next token when a stream is cut", func() {
		r := newRig()
		r.faults(`{"cutAfter":2}`)
		Expect(answer(r)).To(Equal(wholeAnswer()))
	})

	// Symptom: a caller reads somebody else's answer. Sequence: an engine answers
	// with the id of another attempt.
	It("never pass on an answer to another attempt", func() {
		r := newRig()
		r.faults(`{"crossOnce":true}`)
		Expect(answer(r)).To(Equal(wholeAnswer()))
	})

	// Symptom: a stream stands still for ever. Sequence: the connection is forgotten
	// by something in between, no error ever comes.
	It("go on over a new connection when one goes silent", func() {
		r := newRig()
		put(r.engines[0], "/faults", `{"silent":true}`)
		for range 4 {
			Expect(answer(r)).To(Equal(wholeAnswer()))
		}
	})

	It("are refused as not run when every engine turns them away", func() {
		r := newRig()
		r.faults(`{"refuse":true}`)
		resp, body := r.post("/v1/chat/completions", chat)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(body).To(ContainSubstring(`"ran":"no"`))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("end with an error event and no end marker when no engine can finish them", func() {
		r := newRig()
		r.faults(`{"silent":true}`)
		_, body := r.post("/v1/chat/completions", strings.Replace(chat, `"max`, `"stream":true,"max`, 1), wire.HeaderDeadline, "900")
		Expect(body).NotTo(ContainSubstring("[DONE]"))
		Expect(body).To(ContainSubstring(`"error"`))
	})
})

var _ = Describe("service calls", func() {
	It("run once under a key, and the answer is replayed", func() {
		r := newRig()
		_, first := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k1")
		_, again := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k1")
		Expect(again).To(Equal(first))
		Expect(r.runs()).To(HaveKeyWithValue("key/k1", 1))
		resp, body := r.post("/services/notices/send", "other", wire.HeaderIdempotencyKey, "k1")
		Expect(resp.StatusCode).To(Equal(422))
		Expect(codeIn(body)).To(Equal(1006))
	})

	// Symptom: a notice is sent twice. Sequence: the service reads the request, runs
	// it and drops the connection. Cause: the HTTP transport repeats a request with
	// an Idempotency-Key by itself, or the router does.
	It("are never repeated after the service may have run them", func() {
		r := newRig()
		for _, body := range []string{"x", ""} {
			// A call that works leaves a connection behind: the transport repeats only
			// what it sent over a connection that it had used before.
			put(r.plain, "/faults", `{}`)
			r.post("/services/notices/send", body, wire.HeaderIdempotencyKey, "first"+body)
			put(r.plain, "/faults", `{"dropAfterRead":true}`)
			resp, text := r.post("/services/notices/send", body, wire.HeaderIdempotencyKey, "k2"+body)
			Expect(resp.StatusCode).To(Equal(502))
			Expect(codeIn(text)).To(Equal(4001))
			Expect(r.runs()).To(HaveKeyWithValue("key/k2"+body, 1))
		}
		put(r.plain, "/faults", `{}`)
		_, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k2x")
		Expect(codeIn(text)).To(Equal(4001), "a later try is not run either")
	})

	// Symptom: the caller waits for its whole deadline. Sequence: the service reads
	// the request and the connection goes silent.
	It("that go silent end as outcome unknown", func() {
		r := newRig()
		put(r.plain, "/faults", `{"silent":true}`)
		_, text := r.post("/services/notices/send", "x")
		Expect(codeIn(text)).To(Equal(4001))
	})

	It("that are turned away give their key up again", func() {
		r := newRig()
		put(r.plain, "/faults", `{"refuse":true}`)
		_, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k3")
		Expect(text).To(ContainSubstring(`"ran":"no"`))
		put(r.plain, "/faults", `{}`)
		resp, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k3")
		Expect(resp.StatusCode).To(Equal(200), text)
	})

	// Symptom: a notice is sent although nobody can keep its key. Sequence: the
	// table service is down.
	It("with a key are refused as not run while the table service is down", func() {
		r := newRig()
		r.table.ChooseFault = func(bool) faketable.Fault { return faketable.Refused }
		resp, text := r.post("/services/notices/send", "x", wire.HeaderIdempotencyKey, "k4")
		Expect(codeIn(text)).To(Equal(2006))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.runs()).NotTo(HaveKey("key/k4"))
	})

	DescribeTable("run at most once whatever happens to the claim's writes",
		func(fault faketable.Fault) {
			r := newRig()
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
			Expect(r.runs()).To(HaveKeyWithValue("key/k5", 1))
		},
		Entry("reply lost", faketable.ReplyLost),
		Entry("write lost", faketable.WriteLost),
		Entry("write late", faketable.WriteDelayed),
		Entry("refused", faketable.Refused),
	)
})

var _ = Describe("bad input", func() {
	DescribeTable("gets a numbered error at once and loses nothing",
		func(path, body string, want int, headers ...string) {
			r := newRig()
			_, text := r.post(path, body, headers...)
			Expect(codeIn(text)).To(Equal(want))
			Expect(r.get("/readyz").StatusCode).To(Equal(200))
		},
		Entry("garbage body", "/v1/chat/completions", "\x00{{", 1001),
		Entry("huge body", "/v1/chat/completions", strings.Repeat("x", 5000), 1002),
		Entry("unknown team", "/v1/chat/completions", chat, 1003, wire.HeaderTeam, "nobody"),
		Entry("unknown model", "/v1/chat/completions", `{"model":"x"}`, 1004),
		Entry("unknown pool", "/services/x/y", "", 1004),
		Entry("model pool as a service", "/services/drafting/y", "", 1004),
		Entry("bad priority", "/v1/chat/completions", chat, 1005, wire.HeaderPriority, "now"),
		Entry("bad deadline", "/v1/chat/completions", chat, 1005, wire.HeaderDeadline, "-1"),
		Entry("long key", "/services/notices/x", "", 1005, wire.HeaderIdempotencyKey, strings.Repeat("k", 200)),
		Entry("no such path", "/nothing", "", 1007),
	)
})

func FuzzChatBody(f *testing.F) {
	f.Add([]byte(chat))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req wire.ChatRequest
		if json.Unmarshal(data, &req) == nil {
			_, _ = req.Prompt(), req.Tokens()
		}
		_ = wire.ReadEvents(bytes.NewReader(data), func([]byte) error { return nil })
	})
}
