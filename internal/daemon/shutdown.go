package daemon

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// gracefulShutdown is a graceful shutdown of a gateway.
type gracefulShutdown struct {
	gateway   *Gateway
	startedAt time.Time
	// grace is the shortest grace period that was in force since startedAt: a longer one may have come too late for the
	// process that kills this one.
	grace time.Duration
	// selective is closed when only requests are accepted that end before the deadline.
	selective chan struct{}
}

// Shutdown stops the gateway gracefully, by the schedule for its grace period. First the gateway becomes unready, but
// accepts all requests until the balancer has noticed. Then it accepts only requests that will end in time, and waits
// for the requests that came earlier. The port for callers stays open until these have ended: while few routers are
// ready, the balancer also sends requests to routers that are shutting down, and a closed port would cost these callers
// an attempt. What is still open when the time is up is answered by the gateway itself.
func (g *Gateway) Shutdown(ctx context.Context) {
	s := &gracefulShutdown{
		gateway: g, startedAt: time.Now(), grace: time.Duration(g.gracePeriod.Load()), selective: make(chan struct{}),
	}
	g.log.Line(eventlog.Stopping).Dur("grace", s.grace).Msg("")
	g.control.BeginShutdown(ctx)
	graceCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.log.GoOrEnd("shutdown", func() {
		defer cancel()
		s.followSchedule(graceCtx)
	})
	select {
	case <-s.selective:
	case <-graceCtx.Done():
	}
	for g.control.OpenEarlyRequests() > 0 && graceCtx.Err() == nil {
		sleep(graceCtx, shutdown.TickInterval)
	}
	unregistered := make(chan error, 1)
	g.log.GoOrEnd("router_list", func() { unregistered <- g.control.Unregister(graceCtx) })
	if err := g.callerConnections.Shutdown(graceCtx, g.servers[0]); err != nil {
		g.log.Line(eventlog.RequestsCut).Err(err).Msg("")
	}
	if err := <-unregistered; err != nil {
		g.log.Line(eventlog.RouterListFailed).Err(err).Msg("")
	}
	g.stop()
	_ = g.digestSocket.Close()
	g.log.Line(eventlog.Stopped).Dur("after", time.Since(s.startedAt)).Msg("")
}

// followSchedule begins each phase of the shutdown when it is due. It returns when the connections must be closed, or ctx
// ends.
func (s *gracefulShutdown) followSchedule(ctx context.Context) {
	ticker := time.NewTicker(shutdown.TickInterval)
	defer ticker.Stop()
	isSelective, answered := false, false
	for {
		schedule, elapsed := s.schedule(), time.Since(s.startedAt)
		if elapsed >= schedule.AcceptAll {
			s.gateway.control.SetShutdownDeadline(s.startedAt.Add(schedule.LastDeadline))
			if !isSelective {
				isSelective = true
				close(s.selective)
			}
		}
		if elapsed >= schedule.AnswerOpen && !answered {
			answered = true
			s.answerOpenRequests()
		}
		if elapsed >= schedule.Close {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// schedule returns the schedule for the shortest grace period so far.
func (s *gracefulShutdown) schedule() shutdown.Schedule {
	s.grace = min(s.grace, time.Duration(s.gateway.gracePeriod.Load()))
	return shutdown.NewSchedule(s.grace)
}

// answerOpenRequests makes the requests that are still open end with an answer.
func (s *gracefulShutdown) answerOpenRequests() {
	s.gateway.log.Line(eventlog.RequestsEnded).Int64("open", s.gateway.control.OpenEarlyRequests()).Msg("")
	s.gateway.control.EndOpenRequests()
	s.gateway.callerConnections.InterruptBodies()
}
