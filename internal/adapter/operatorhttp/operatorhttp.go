// Package operatorhttp is the controller's HTTP interface for operators, the resource API.
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

// maxBodyBytes bounds the body of one request. A change of 31,000 teams of 200 bytes has about 6
// MB.
const maxBodyBytes = 16 << 20

// ApplyRequest is the body of a request that changes resources.
type ApplyRequest struct {
	// Operation is a name that the caller chooses. A second request with the same name changes
	// nothing and returns the outcome of the first.
	Operation string              `json:"operation"`
	Resources []resource.Resource `json:"resources"`
}

// DescribedResource is a resource with its status.
type DescribedResource struct {
	resource.Resource
	Status Status `json:"status"`
}

// Status is the observed state of a resource.
type Status struct {
	// ObservedGeneration is 0 until all listed routers have applied the resource's generation,
	// then that generation. For a planned change it is the generation that the reconciler has
	// last acted on.
	ObservedGeneration uint64                    `json:"observedGeneration"`
	Applied            *controller.RolloutStatus `json:"inForce,omitempty"`
	Change             *plannedchange.Status     `json:"change,omitempty"`
	Conditions         []Condition               `json:"conditions"`
}

// Condition is one aspect of the observed state of a resource.
type Condition struct {
	Type   string `json:"type"`
	Status string `json:"status"`
	Reason string `json:"reason"`
}

// PlacementExplanation is the ranking of a pool's targets for a chat.
type PlacementExplanation struct {
	Pool     string   `json:"pool"`
	Chat     string   `json:"chat"`     // team and chat, joined by a slash
	Owner    string   `json:"owner"`    // id of the router that grants the pool's tickets while it is live
	Order    []string `json:"order"`    // names of the highest-ranked targets, best first
	Leaving  []string `json:"leaving"`  // names of the pool's leaving targets
	Revision uint64   `json:"revision"` // of the configuration
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	controller *controller.Controller
	reconciler *controller.Reconciler
	routers    []uint32
}

// New returns a Server. routers lists the ids of all routers.
func New(c *controller.Controller, r *controller.Reconciler, routers []uint32) *Server {
	return &Server{controller: c, reconciler: r, routers: routers}
}

// Handler returns the resource API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, "ok") })
	r.HandleFunc("/v1/apply", s.apply).Methods(http.MethodPost)
	r.HandleFunc("/v1/operations/{name}", s.operation).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/resources/{kind}/{name}", s.describe).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/burn", s.burn).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", s.explain).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, code.New(code.NotFound, "no such path"))
	})
	return r
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		writeError(w, code.New(code.BadBody, "%s", err))
		return
	}
	if req.Operation == "" || len(req.Resources) == 0 {
		writeError(w, code.New(code.BadBody, "operation or resources are missing"))
		return
	}
	accepted, err := s.controller.Apply(r.Context(), req.Operation, req.Resources)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, accepted)
}

func (s *Server) operation(w http.ResponseWriter, r *http.Request) {
	op, err := s.controller.Store().Operation(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, controller.ApplyResult{Operation: op, RolloutStatus: s.controller.RolloutStatus(r.Context(), op.Revision)})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.controller.Store().List(r.Context(), resource.Kind(mux.Vars(r)["kind"]))
	if err != nil {
		writeError(w, err)
		return
	}
	if list == nil {
		list = []resource.Resource{}
	}
	writeJSON(w, list)
}

func storeError(err error) error { return code.New(code.StoreDown, "table service: %s", err) }

func (s *Server) describe(w http.ResponseWriter, r *http.Request) {
	key := resource.Key{Kind: resource.Kind(mux.Vars(r)["kind"]), Name: mux.Vars(r)["name"]}
	res, err := s.controller.Store().Get(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.withStatus(r.Context(), res))
}

// withStatus adds the observed state to a resource.
func (s *Server) withStatus(ctx context.Context, res resource.Resource) DescribedResource {
	rollout := s.controller.RolloutStatus(ctx, res.Metadata.ResourceVersion)
	out := DescribedResource{Resource: res, Status: Status{Applied: &rollout}}
	condition := Condition{Type: "InForceEverywhere", Status: "True", Reason: "AllRouters"}
	if rollout.Applied < rollout.Listed {
		condition.Status, condition.Reason = "False", "RoutersBehind"
	} else {
		out.Status.ObservedGeneration = res.Metadata.Generation
	}
	out.Status.Conditions = append(out.Status.Conditions, condition)
	if res.Kind == resource.KindPlannedChange {
		s.addChangeStatus(ctx, res, &out)
	}
	return out
}

// addChangeStatus adds the progress of a planned change. It adds nothing if that can't be read.
func (s *Server) addChangeStatus(ctx context.Context, res resource.Resource, out *DescribedResource) {
	change, err := s.reconciler.Status(ctx, res.Metadata.Name)
	if err != nil {
		return
	}
	out.Status.Change = &change
	out.Status.ObservedGeneration = change.ObservedGeneration
	complete := Condition{Type: "Complete", Status: "False", Reason: string(change.Phase)}
	if change.Phase == plannedchange.Done && change.ObservedGeneration == res.Metadata.Generation {
		complete.Status = "True"
	}
	out.Status.Conditions = append(out.Status.Conditions, complete)
}

const (
	// watchTimeout is how long a watch waits for a change before it returns an empty list.
	watchTimeout = 10 * time.Second
	// watchPollInterval is the time between two reads of the store by one watch.
	watchPollInterval = 250 * time.Millisecond
)

// watch waits for changes after a revision and returns them. If the store no longer has all of
// these changes, it returns the whole configuration as one change.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, code.New(code.BadBody, "parameter after is not a revision number"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout)
	defer cancel()
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	for {
		changes, whole, err := s.controller.Store().ChangesSince(ctx, after)
		switch {
		case whole != nil:
			writeJSON(w, []resource.Change{{Revision: whole.Revision, Resources: whole.Resources}})
			return
		case len(changes) > 0:
			writeJSON(w, changes)
			return
		case err != nil && ctx.Err() == nil:
			writeError(w, storeError(err))
			return
		}
		select {
		case <-ctx.Done():
			writeJSON(w, []resource.Change{})
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) burn(w http.ResponseWriter, r *http.Request) {
	report, err := s.controller.BurnReport(r.Context())
	if err != nil {
		writeError(w, storeError(err))
		return
	}
	writeJSON(w, report)
}

// explain ranks a pool's targets for a chat by the configuration alone, without the state of
// routers and targets.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	conf, err := s.controller.Store().Load(r.Context())
	if err != nil {
		writeError(w, storeError(err))
		return
	}
	q := r.URL.Query()
	pool, ok := routing.Build(conf.Revision, conf.Resources).Pool(q.Get("pool"))
	if !ok {
		writeError(w, code.New(code.UnknownPool, "no pool %q", q.Get("pool")))
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
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers with the result code of err. An error without a code comes from the store.
func writeError(w http.ResponseWriter, err error) {
	var coded *code.Error
	if !errors.As(err, &coded) {
		coded = code.New(code.StoreDown, "%s", err)
	}
	wire.WriteError(w, coded)
}
