package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/explain"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "explain") }

const logLines = `
  8.0010 front-a-1 {"level":"info","router":"front-a-1","event":"placed","request":"r1","route":"x","attempt":1,"target":"i-1","rule":"home","open":3,"bound":8.5,"loads_age":41.2,"version":7,"time":"2026-04-21T22:03:05Z"}
  8.0020 front-a-1 {"level":"warn","router":"front-a-1","event":"attempt_failed","request":"r1","route":"x","attempt":1,"target":"i-1","why":"not_sent","error":"refused","after":2.5,"time":"2026-04-21T22:03:05Z"}
{"level":"info","router":"front-a-1","event":"placed","request":"r1","route":"x","attempt":2,"target":"i-2","rule":"spill","time":"2026-04-21T22:03:06Z"}
{"level":"info","router":"front-a-1","event":"finished","request":"r1","route":"x","code":0,"status":200,"first":812,"total":900,"time":"2026-04-21T22:03:07Z"}
{"level":"info","router":"front-b-1","event":"placed","request":"r2","attempt":1,"target":"i-9","time":"2026-04-21T22:03:07Z"}
{"level":"warn","router":"front-b-1","event":"not_admitted","request":"r3","target":"i-9","wait":700,"left":900,"open":80,"rank":2,"time":"2026-04-21T22:03:07Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r3","code":2002,"name":"queue_full","ran":"no","time":"2026-04-21T22:03:07Z"}
{"level":"info","router":"front-b-1","event":"placed","request":"r4","attempt":1,"target":"i-9","time":"2026-04-21T22:03:07Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r4","code":3006,"name":"caller_gone","total":300,"time":"2026-04-21T22:03:08Z"}
{"level":"info","router":"front-b-1","event":"finished","request":"r5","status":500,"time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"poison_refused","request":"r7","fingerprint":"c0ffee","ends":3,"age":1200,"wait":9000,"time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"poison_refused","request":"r77","fingerprint":"c0ffee","part":"5c","ends":4,"age":700,"wait":1000,"time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r77","code":2011,"name":"poison","ran":"no","time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r7","code":2011,"name":"poison","ran":"no","time":"2026-04-21T22:03:08Z"}
{"level":"info","router":"front-b-1","event":"placed","request":"r8","attempt":1,"target":"i-9","time":"2026-04-21T22:03:08Z"}
{"level":"info","router":"front-b-1","event":"forwarded","request":"r8","attempt":1,"target":"i-9","peer":"10.0.0.7:1","time":"2026-04-21T22:03:08Z"}
{"level":"info","router":"front-a-1","event":"forwarding","request":"r8","target":"i-9","time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"not_forwarded","request":"r8","attempt":1,"target":"i-9","peer":"10.0.0.7:1","why":"lost","error":"reset","time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"attempt_failed","request":"r8","attempt":1,"target":"i-9","why":"forwarder_lost","time":"2026-04-21T22:03:08Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r8","code":4001,"name":"outcome_unknown","ran":"unknown","time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"stream_refused","request":"r9","why":"unknown_stream","resume_from":"12","resumes":"r-first","events":0,"time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r9","code":2015,"name":"unknown_stream","ran":"no","time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"stream_refused","request":"r10","why":"unknown_stream","resume_from":"12","resumes":"","events":0,"time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r10","code":2015,"name":"unknown_stream","ran":"no","time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"stream_refused","request":"r11","why":"no_such_version","resume_from":"4","resumes":"","events":4,"time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r11","code":3003,"name":"stream_cut","ran":"yes","time":"2026-04-21T22:03:09Z"}
{"level":"info","router":"front-b-1","event":"placed","request":"r12","attempt":1,"target":"i-9","time":"2026-04-21T22:03:09Z"}
{"level":"error","router":"front-b-1","event":"panic","request":"r12","where":"callers","value":"index out of range","stack":"f()","time":"2026-04-21T22:03:09Z"}
{"level":"info","router":"front-b-1","event":"placed","request":"r13","attempt":1,"target":"i-9","time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"failed","request":"r13","code":3006,"name":"caller_gone","total":300,"time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"incomplete","request":"r13","why":"read_failed","read":"timeout","cancelled":true,"status":0,"sent":0,"time":"2026-04-21T22:03:09Z"}
{"level":"info","router":"front-b-1","event":"finished","request":"r14","status":200,"time":"2026-04-21T22:03:09Z"}
{"level":"warn","router":"front-b-1","event":"incomplete","request":"r14","why":"write_failed","read":"none","status":200,"sent":4096,"error":"broken pipe","time":"2026-04-21T22:03:09Z"}
not a line of ours, r1
{"request": broken r1
`

var _ = Describe("the explanation of a request", func() {
	DescribeTable("names the cause of its outcome",
		func(request, want string) {
			entries, err := explain.Read(strings.NewReader(logLines), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(explain.Cause(request, entries)).To(ContainSubstring(want))
		},
		Entry("a failed attempt delayed the answer", "r1", "answered after 812 ms, because attempt 1 failed after 2 ms: i-1: the target accepted no connection"),
		Entry("the router crashed", "r2", "front-b-1 stopped logging while attempt 1 was at i-9"),
		Entry("the request was not admitted", "r3", "expected wait of 700 ms behind 80 open"),
		Entry("the caller disconnected", "r4", "the caller's connection ended after 300 ms, while the request was at i-9"),
		Entry("the target answered with an error", "r5", "status 500 is the target's own"),
		Entry("targets exited while they executed it", "r7", "3 targets have exited while they executed requests with the fingerprint c0ffee, suspected for 1200 ms; retry after 9000 ms; ended as poison"),
		Entry("targets exited under a part of its prompt", "r77", "4 targets have exited while they executed requests with the part 5c of their prompts (c0ffee), suspected for 700 ms; retry after 1000 ms; ended as poison"),
		Entry("the router that was to send it was lost", "r8", "i-9: the router that was to send the request was lost; it may have sent it; ended as outcome_unknown"),
		Entry("nobody knows the stream that it resumes", "r9", "the stream that request r-first began can't go on after event 12: no router knows which software version began it; ended as unknown_stream"),
		Entry("its caller doesn't name the stream", "r10", "can't go on after event 12: the caller named no request that began it; ended as unknown_stream"),
		Entry("no other target runs its version", "r11", "the stream can't go on after event 4: no target of the software version that began it takes requests; ended as stream_cut"),
		Entry("the router's code panicked", "r12", "the code of router front-b-1 panicked: index out of range"),
		Entry("a read of the router failed", "r13", "the router's read beside the handler failed, though the caller had not closed its connection (last read: timeout) after 0 bytes"),
		Entry("a write to the caller failed", "r14", "a write to the caller failed (last read: none) after 4096 bytes of the body: broken pipe"),
		Entry("no router logged it", "r6", "no router logged r6"),
	)

	It("prints the entries in order and ignores prefixes of log collectors and other lines", func() {
		entries, err := explain.Read(strings.NewReader(logLines), "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(4))
		var out bytes.Buffer
		explain.Print(&out, "r1", entries)
		Expect(out.String()).To(MatchRegexp(`(?s)attempt 1 goes to i-1 by rule home: 3 open.*attempt 1 failed.*attempt 2 goes to i-2.*answered with status 200.*cause: `))
	})

	It("follows an attempt that another router sends", func() {
		entries, err := explain.Read(strings.NewReader(logLines), "r8")
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		explain.Print(&out, "r8", entries)
		Expect(out.String()).To(MatchRegexp(`(?s)attempt 1 at i-9 is passed to router 10.0.0.7:1.*front-a-1 +sends the attempt to i-9 for another router.*router 10.0.0.7:1 did not send attempt 1 to i-9: lost \(reset\)`))
	})
})
