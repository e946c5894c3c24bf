// Package operatorhttp serves the resource API to operators.
package operatorhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/plannedchange"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// maxBody bounds one request: 31,000 teams of 200 bytes are about 6 MB.
const maxBody = 16 << 20

// ApplyRequest is the body of a change.
type ApplyRequest struct {
	// Operation is a name chosen by the client. The same name again returns the
	// first outcome instead of changing anything twice.
	Operation string              `json:"operation"`
	Resources []resource.Resource `json:"resources"`
}

// DescribedResource is a resource with its status.
type DescribedResource struct {
	resource.Resource
	Status Status `json:"status"`
}

// Status says what actually holds.
type Status struct {
	ObservedGeneration uint64                `json:"observedGeneration"`
	Applied            *controller.InForce   `json:"inForce,omitempty"`
	Change             *plannedchange.Status `json:"change,omitempty"`
	Conditions         []Condition           `json:"conditions"`
}

// Condition is one aspect of a resource's state.
type Condition struct {
	Type   string `json:"type"`
	Status string `json:"status"`
	Reason string `json:"reason"`
}

// PlacementExplanation says why a chat goes where it goes.
type PlacementExplanation struct {
	Pool     string   `json:"pool"`
	Chat     string   `json:"chat"`
	Owner    string   `json:"owner"`
	Order    []string `json:"order"`
	Leaving  []string `json:"leaving"`
	Revision uint64   `json:"revision"`
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	controller *controller.Controller
	reconciler *controller.Reconciler
	routers    []uint32
}

// New returns a Server.
func New(c *controller.Controller, r *controller.Reconciler, routers []uint32) *Server {
	return &Server{controller: c, reconciler: r, routers: routers}
}

// Handler returns the resource API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { reply(w, "ok") })
	r.HandleFunc("/v1/apply", s.apply).Methods(http.MethodPost)
	r.HandleFunc("/v1/operations/{name}", s.operation).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.describe).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/burn", s.burn).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", s.explain).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, code.New(code.NotFound, "no such path"))
	})
	return r
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		fail(w, code.New(code.BadBody, "%s", err))
		return
	}
	if req.Operation == "" || len(req.Resources) == 0 {
		fail(w, code.New(code.BadBody, "operation or resources are missing"))
		return
	}
	accepted, err := s.controller.Apply(r.Context(), req.Operation, req.Resources)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, accepted)
}

func (s *Server) operation(w http.ResponseWriter, r *http.Request) {
	op, err := s.controller.Store().Operation(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, controller.Accepted{Operation: op, InForce: s.controller.InForce(r.Context(), op.Revision)})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.controller.Store().List(r.Context(), resource.Kind(mux.Vars(r)["kind"]))
	if err != nil {
		fail(w, err)
		return
	}
	if list == nil {
		list = []resource.Resource{}
	}
	reply(w, list)
}

func storeError(err error) error { return code.New(code.StoreDown, "table service: %s", err) }

func (s *Server) describe(w http.ResponseWriter, r *http.Request) {
	key := resource.Key{Kind: resource.Kind(mux.Vars(r)["kind"]), Name: mux.Vars(r)["name"]}
	res, err := s.controller.Store().Get(r.Context(), key)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, s.described(r.Context(), res))
}

func (s *Server) described(ctx context.Context, res resource.Resource) DescribedResource {
	force := s.controller.InForce(ctx, res.Metadata.ResourceVersion)
	out := DescribedResource{Resource: res, Status: Status{Applied: &force}}
	everywhere := Condition{Type: "InForceEverywhere", Status: "True", Reason: "AllRouters"}
	if force.Routers < force.Listed {
		everywhere.Status, everywhere.Reason = "False", "RoutersBehind"
	} else {
		out.Status.ObservedGeneration = res.Metadata.Generation
	}
	out.Status.Conditions = append(out.Status.Conditions, everywhere)
	if res.Kind == resource.KindPlannedChange {
		s.describeChange(ctx, res, &out)
	}
	return out
}

func (s *Server) describeChange(ctx context.Context, res resource.Resource, out *DescribedResource) {
	change, err := s.reconciler.Status(ctx, res.Metadata.Name)
	if err != nil {
		return
	}
	out.Status.Change = &change
	out.Status.ObservedGeneration = change.ObservedGeneration
	done := Condition{Type: "Complete", Status: "False", Reason: string(change.Phase)}
	if change.Phase == plannedchange.Done && change.ObservedGeneration == res.Metadata.Generation {
		done.Status = "True"
	}
	out.Status.Conditions = append(out.Status.Conditions, done)
}

// watchWait is how long a watch waits for a change before it answers empty, and
// watchEvery how often it looks.
const (
	watchWait  = 10 * time.Second
	watchEvery = 250 * time.Millisecond
)

// watch answers with the changes after a revision as soon as there are any.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, code.New(code.BadBody, "after is not a revision"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchWait)
	defer cancel()
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		changes, whole, err := s.controller.Store().Since(ctx, after)
		switch {
		case whole != nil:
			reply(w, []resource.Change{{Revision: whole.Revision, Resources: whole.Resources}})
			return
		case len(changes) > 0:
			reply(w, changes)
			return
		case err != nil && ctx.Err() == nil:
			fail(w, storeError(err))
			return
		}
		select {
		case <-ctx.Done():
			reply(w, []resource.Change{})
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) burn(w http.ResponseWriter, r *http.Request) {
	report, err := s.controller.Burn(r.Context())
	if err != nil {
		fail(w, storeError(err))
		return
	}
	reply(w, report)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	conf, err := s.controller.Store().Load(r.Context())
	if err != nil {
		fail(w, storeError(err))
		return
	}
	q := r.URL.Query()
	pool, ok := routing.Build(conf.Revision, conf.Resources).Pool(q.Get("pool"))
	if !ok {
		fail(w, code.New(code.UnknownPool, "no pool %q", q.Get("pool")))
		return
	}
	chat := q.Get("team") + "/" + q.Get("chat")
	owner, _ := rendezvous.Highest(rendezvous.Hash(pool.Name), s.routers)
	out := PlacementExplanation{
		Pool: pool.Name, Chat: chat, Owner: strconv.Itoa(int(owner)), Revision: conf.Revision,
		Order: []string{}, Leaving: []string{},
	}
	var top rendezvous.Top
	pool.RankTargets(rendezvous.Hash(chat), &top, rendezvous.MaxTopNodes)
	for i := range top.Len {
		out.Order = append(out.Order, pool.Targets[top.Index[i]].Name)
	}
	for _, t := range pool.Targets {
		if t.Leaving {
			out.Leaving = append(out.Leaving, t.Name)
		}
	}
	reply(w, out)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, err error) {
	var coded *code.Error
	if !errors.As(err, &coded) {
		coded = code.New(code.StoreDown, "%s", err)
	}
	wire.WriteError(w, coded)
}
