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

type alwaysAlive struct{}

func (alwaysAlive) HolderAlive(uint32, uint64) bool { return true }

func newClaims(table *faketable.Table, id uint32) *router.Claims {
	return router.NewClaims(table, alwaysAlive{}, id, 1, eventlog.Nop(), time.Now)
}

func request(body string) router.Request {
	return router.Request{Method: http.MethodPost, Path: "/send", Team: "dealers", Body: []byte(body), Pool: &routing.Pool{Name: "notices"}}
}

var _ = Describe("claims of one router", func() {
	// Guards against a notice that one router sends twice. Two requests with the same key arrive
	// together, and their inserts share a transaction. The row does not exist when the conditions
	// of the transaction are checked, so both inserts would count as committed.
	It("let only one of several requests with the same key be dispatched, also if their inserts share a transaction", func() {
		table := faketable.New()
		firstCommitStarted, allowFirstCommit := make(chan struct{}), make(chan struct{})
		var once sync.Once
		table.BeforeCommit = func() { once.Do(func() { close(firstCommitStarted); <-allowFirstCommit }) }
		claims := newClaims(table, 1)
		kinds := make(chan claim.ActionKind, 10)
		var requests sync.WaitGroup
		requests.Go(func() { claims.Acquire(ctx, request("x"), "blocker") })
		<-firstCommitStarted
		for range 8 {
			requests.Go(func() {
				_, action := claims.Acquire(ctx, request("x"), "k")
				kinds <- action.Kind
			})
		}
		time.AfterFunc(50*time.Millisecond, func() { close(allowFirstCommit) }) // by then the other inserts are queued
		requests.Wait()
		close(kinds)
		dispatched := 0
		for kind := range kinds {
			if kind == claim.Dispatch {
				dispatched++
			}
		}
		Expect(dispatched).To(Equal(1))
	})

	It("insert the rows of concurrent requests in shared transactions", func() {
		table := faketable.New()
		table.BeforeCommit = func() { time.Sleep(time.Millisecond) }
		claims := newClaims(table, 1)
		var requests sync.WaitGroup
		for i := range 100 {
			requests.Go(func() {
				_, action := claims.Acquire(ctx, request("x"), fmt.Sprint(i))
				Expect(action.Kind).To(Equal(claim.Dispatch))
			})
		}
		requests.Wait()
		Expect(table.Commits).To(BeNumerically("<", 50))
	})

	// Guards against a caller whose retries are refused for ever as in progress, although its
	// request was refused as not executed. The reply to the insert is lost, the table service goes
	// down, and the claim is refused. Its row exists when the table service is back.
	It("leave no row behind if they are refused", func() {
		table := faketable.New()
		writes := 0
		table.ChooseFault = func(write bool) faketable.Fault {
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
		claims := newClaims(table, 1)
		_, action := claims.Acquire(ctx, request("x"), "k")
		Expect(action.Code).To(Equal(code.ClaimStoreDown))
		Eventually(func() claim.ActionKind {
			_, action := claims.Acquire(ctx, request("x"), "k")
			return action.Kind
		}, "10s", "50ms").Should(Equal(claim.Dispatch))
	})

	// Guards against the replay of a truncated answer. The answer is larger than a row may be.
	It("record the outcome as unknown if the answer is too large", func() {
		claims := newClaims(faketable.New(), 1)
		held, _ := claims.Acquire(ctx, request("x"), "k")
		claims.RecordOutcome(held, target.Answer{Status: 200, Header: http.Header{}, Body: []byte(strings.Repeat("y", 100<<10))}, router.Result{Code: code.OK, MayHaveExecuted: true})
		_, action := claims.Acquire(ctx, request("x"), "k")
		Expect(action.Code).To(Equal(code.OutcomeUnknown))
	})
})
