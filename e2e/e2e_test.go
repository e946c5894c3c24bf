package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/cli"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/load"
)

// drive starts a load and returns a function that waits for its report.
func (f *fleet) drive(chats, turns int) func() load.Report {
	s := load.Settings{
		ServiceURL: f.url(servicePort), Model: "drafter", ServicePool: "notices", Teams: []string{"dealers"},
		Chats: chats, TurnsPerChat: turns, ConcurrentChats: 12, Seed: 1, MeanPause: 50 * time.Millisecond,
	}
	for i := 1; i <= routers; i++ {
		s.RouterURLs = append(s.RouterURLs, f.url(callerPort+i))
	}
	for i := range engines {
		s.EngineURLs = append(s.EngineURLs, f.url(enginePort+i))
	}
	var report load.Report
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		report, err = load.Run(ctx, s)
	}()
	return func() load.Report {
		<-done
		Expect(err).NotTo(HaveOccurred())
		return report
	}
}

func (f *fleet) expectEverywhere(revision uint64) {
	for i := 1; i <= routers; i++ {
		Eventually(func() uint64 { return f.revision(i) }, "10s", "20ms").Should(BeNumerically(">=", revision))
	}
}

var _ = Describe("routers", func() {
	// Symptom: a caller sees half an answer, or a notice is sent twice. Sequence: a
	// router is killed under load; callers ask again through others.
	It("lose, cut, cross and double nothing when one is killed", func() {
		f := newFleet(true)
		wait := f.drive(30, 5)
		time.Sleep(500 * time.Millisecond) // the load is under way
		f.routers[2].signal(syscall.SIGKILL)
		report := wait()
		Expect(report.HasFailures()).To(BeFalse(), "%+v", report)
		Expect(report.Complete).To(Equal(150))
	})

	// Symptom: a caller names a request, and nobody can say what became of it. Cause: requests
	// were logged for debugging only, and on another stream than on the platform.
	It("leave the way of each request in their logs", func() {
		f := newFleet(true)
		Expect(f.drive(10, 3)().HasFailures()).To(BeFalse())
		found := 0
		for i := 1; i <= routers; i++ {
			file := filepath.Join(GinkgoT().TempDir(), "router.log")
			Expect(os.WriteFile(file, []byte(f.routers[i].log.String()), 0o600)).To(Succeed())
			for _, id := range regexp.MustCompile(`"event":"finished","request":"([^"]+)"`).FindAllStringSubmatch(f.routers[i].log.String(), -1) {
				var out, errOut bytes.Buffer
				Expect(cli.Run([]string{"explain", id[1], file}, &out, &errOut)).To(Equal(cli.ExitOK), errOut.String())
				Expect(out.String()).To(MatchRegexp(`attempt 1 goes to (engine|notices)-\d by a ticket that took \d+ ms; configuration \d+`))
				Expect(out.String()).To(ContainSubstring("cause: answered; the first byte came after"))
				found++
			}
		}
		Expect(found).To(BeNumerically(">=", 30), "chats, and calls of the plain service")
	})

	// Symptom: a planned stop cuts requests off ("server closed idle connection").
	// Sequence: each router in turn gets SIGTERM under load and is started again.
	// Cause, seen once in four runs on a busy machine: idle connections were closed all
	// at once when the stop began, some with a request on its way.
	It("cut off no request when all are replaced one after another", func() {
		f := newFleet(true)
		wait := f.drive(40, 12)
		for i := 1; i <= routers; i++ {
			f.routers[i].signal(syscall.SIGTERM)
			Expect(f.routers[i].cmd.Wait()).To(Succeed(), f.routers[i].log.String())
			f.startRouter(i)
			f.awaitReady(i)
		}
		report := wait()
		Expect(report.HasFailures()).To(BeFalse(), "%+v", report)
		Expect(report.BrokenConnections).To(BeZero(), "%+v", report)
		Expect(report.Complete).To(Equal(480))
	})

	// Symptom: a router that was frozen while a target was drained sends work there.
	// Sequence: SIGSTOP, drain, SIGCONT.
	It("send nothing to a target that was drained while they were frozen", func() {
		f := newFleet(true)
		f.routers[2].signal(syscall.SIGSTOP)
		target, err := f.client.Get(resource.KindTarget, "engine-1")
		Expect(err).NotTo(HaveOccurred())
		target.Resource.Spec = fmt.Appendf(nil, `{"pool":"drafting","address":"127.0.0.1:%d","leaving":true}`, f.base+enginePort+1)
		accepted := f.apply("leave", target.Resource)
		time.Sleep(3500 * time.Millisecond) // longer than a router may serve uninformed
		f.routers[2].signal(syscall.SIGCONT)
		before := f.engine(1).ServedRequests
		report := f.drive(10, 3)()
		Expect(report.HasFailures()).To(BeFalse(), "%+v", report)
		Expect(f.engine(1).ServedRequests).To(Equal(before))
		f.expectEverywhere(accepted.Operation.Revision)
	})
})

var _ = Describe("the configuration", func() {
	// Symptom: a change is in force at some routers only. Sequence: the store goes
	// down right after acceptance; a router starts during the outage.
	It("spreads, and reaches a new router, while the store is down", func() {
		f := newFleet(true)
		f.routers[3].signal(syscall.SIGKILL)
		_ = f.routers[3].cmd.Wait()
		accepted := f.apply("during", res(resource.KindTeam, "inspectors", `{}`))
		f.platformFaults(`{"down":true}`)
		f.startRouter(3)
		f.expectEverywhere(accepted.Operation.Revision)
		f.awaitReady(3)
		_, err := f.client.Apply("refused", []resource.Resource{res(resource.KindTeam, "late", `{}`)})
		Expect(err).To(MatchError(ContainSubstring("5004")))
		f.platformFaults(`{}`)
		f.apply("after", res(resource.KindTeam, "late", `{}`))
	})

	// Symptom: an operator is told that a change failed although it holds. Sequence:
	// the write takes effect, its reply is lost.
	It("is settled when the store's replies are lost", func() {
		f := newFleet(true)
		f.platformFaults(`{"dropReplies":true}`)
		accepted, err := f.client.Apply("lost", []resource.Resource{res(resource.KindTeam, "inspectors", `{}`)})
		Expect(err).NotTo(HaveOccurred())
		f.platformFaults(`{}`)
		f.expectEverywhere(accepted.Operation.Revision)
		again, err := f.client.Apply("lost", []resource.Resource{res(resource.KindTeam, "inspectors", `{}`)})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Operation.Revision).To(Equal(accepted.Operation.Revision))
	})
})

var _ = Describe("planned changes", func() {
	// Symptom: a target gets conflicting or doubled orders. Sequence: the process that
	// holds a change's lease is frozen past the lease, another one carries the change
	// out, the first wakes.
	DescribeTable("are carried out once although their holder is frozen past its lease",
		func(fencing bool) {
			f := newFleet(fencing)
			f.apply("load", res(resource.KindPlannedChange, "load-v7", `{"target":"engine-0","action":"load","argument":"v7"}`))
			Eventually(func() string { return f.phase("load-v7") }, "10s", "20ms").Should(Equal("Done"))
			f.apply("drain", res(resource.KindPlannedChange, "drain-1", `{"target":"engine-1","action":"drain"}`))
			holder := 0
			Eventually(func() int { holder = f.holderOf("drain-1"); return holder }, "10s", "10ms").ShouldNot(BeZero())
			f.controllers[holder].signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond) // longer than the lease
			Eventually(func() string { return f.phaseFrom(holder, "drain-1") }, "20s", "50ms").Should(Equal("Done"))
			f.controllers[holder].signal(syscall.SIGCONT)
			time.Sleep(1500 * time.Millisecond) // the frozen one looks again
			status := f.engine(1)
			Expect(status.State).To(HaveKeyWithValue("drain", "true"))
			Expect(status.OrdersExecuted).To(BeNumerically("<=", 2), "an order may be repeated, as it states what shall be")
			Expect(f.engine(0).State).To(HaveKeyWithValue("load", "v7"))
		},
		Entry("with targets that check fencing numbers", true),
		Entry("with targets that ignore them", false),
	)
})

// holderOf returns the controller that first reported working on a change.
func (f *fleet) holderOf(change string) int {
	for i := 1; i <= routers; i++ {
		if f.controllers[i].logged(`"change":"` + change + `"`) {
			return i
		}
	}
	return 0
}

// phaseFrom returns a change's phase as any controller but one tells it.
func (f *fleet) phaseFrom(except int, change string) string {
	for i := 1; i <= routers; i++ {
		var d struct {
			Status struct{ Change struct{ Phase string } }
		}
		if i != except && get(f.url(controllerPort+i)+"/v1/resources/PlannedChange/"+change, &d) == nil {
			return d.Status.Change.Phase
		}
	}
	return ""
}
