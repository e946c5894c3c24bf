package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/claim"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
)

var ctx = context.Background()

type aliveHolders struct{}

func (aliveHolders) HolderAlive(uint32, uint64) bool { return true }

func newClaims(t *faketable.Table, id uint32) *router.Claims {
	return router.NewClaims(t, aliveHolders{}, id, 1, eventlog.Nop(), time.Now)
}

func request(body string) router.Request {
	return router.Request{Method: http.MethodPost, Path: "/send", Team: "dealers", Body: []byte(body), Pool: &routing.Pool{Name: "notices"}}
}

var _ = Describe("claims of one router", func() {
	// Symptom: a notice sent twice by one router. Sequence: a caller's two tries arrive
	// together and their inserts share a transaction. Cause: each row is free when the
	// transaction's conditions are checked, so both are taken for committed.
	It("let one of several tries with the same key run, also within one group", func() {
		tab := faketable.New()
		entered, first := make(chan struct{}), make(chan struct{})
		var once sync.Once
		tab.BeforeCommit = func() { once.Do(func() { close(entered); <-first }) }
		claims := newClaims(tab, 1)
		kinds := make(chan claim.ActionKind, 10)
		var tries sync.WaitGroup
		tries.Go(func() { claims.Take(ctx, request("x"), "blocker") })
		<-entered
		for range 8 {
			tries.Go(func() {
				_, action := claims.Take(ctx, request("x"), "k")
				kinds <- action.Kind
			})
		}
		time.AfterFunc(50*time.Millisecond, func() { close(first) }) // by then the others wait for the next group
		tries.Wait()
		close(kinds)
		running := 0
		for kind := range kinds {
			if kind == claim.Dispatch {
				running++
			}
		}
		Expect(running).To(Equal(1))
	})

	It("share transactions", func() {
		tab := faketable.New()
		tab.BeforeCommit = func() { time.Sleep(time.Millisecond) }
		claims := newClaims(tab, 1)
		var tries sync.WaitGroup
		for i := range 100 {
			tries.Go(func() {
				_, action := claims.Take(ctx, request("x"), fmt.Sprint(i))
				Expect(action.Kind).To(Equal(claim.Dispatch))
			})
		}
		tries.Wait()
		Expect(tab.Commits).To(BeNumerically("<", 50))
	})

	// Symptom: a caller is told for ever that its notice is in progress although it
	// was refused as not run. Sequence: the insert's reply is lost, then the table goes
	// down, the claim is refused; its row is there when the table returns.
	It("that were refused leave no row behind", func() {
		tab := faketable.New()
		writes := 0
		tab.ChooseFault = func(write bool) faketable.Fault {
			if !write {
				return faketable.NoFault
			}
			writes++
			switch writes {
			case 1:
				return faketable.ReplyLost
			case 2:
				return faketable.Refused
			}
			return faketable.NoFault
		}
		claims := newClaims(tab, 1)
		_, action := claims.Take(ctx, request("x"), "k")
		Expect(action.Code).To(Equal(code.ClaimStoreDown))
		Eventually(func() claim.ActionKind {
			_, action := claims.Take(ctx, request("x"), "k")
			return action.Kind
		}, "10s", "50ms").Should(Equal(claim.Dispatch))
	})

	// Symptom: half an answer is replayed as the whole. Sequence: an answer larger than
	// a row may be is recorded.
	It("do not record an answer that is too large, and say so later", func() {
		claims := newClaims(faketable.New(), 1)
		held, _ := claims.Take(ctx, request("x"), "k")
		claims.Settle(held, target.Answer{Status: 200, Header: http.Header{}, Body: []byte(strings.Repeat("y", 100<<10))}, router.Result{Code: code.OK, MayHaveRun: true})
		_, action := claims.Take(ctx, request("x"), "k")
		Expect(action.Code).To(Equal(code.OutcomeUnknown))
	})
})
