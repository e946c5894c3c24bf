package router

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/config"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// pushFanout is the number of peers to which a router forwards a new change. A fanout of two
// reaches 340 routers in about nine rounds. Routers that it misses pull the change after gossip
// shows them the higher revision.
const pushFanout = 2

// pullTimeout is how long an unanswered pull prevents another one.
const pullTimeout = 2 * time.Second

func (c *Core) handlePush(m *peerv1.PushRequest) (proto.Message, error) {
	c.applyChanges(DecodeChanges(m.GetChanges()))
	return &peerv1.PushResponse{Router: c.settings.Self, Revision: c.config.Revision()}, nil
}

func (c *Core) handlePull(m *peerv1.PullRequest) (proto.Message, error) {
	resp := &peerv1.PullResponse{Head: c.config.Revision()}
	changes, available := c.config.ChangesSince(m.GetAfterRevision())
	if available {
		resp.Changes = EncodeChanges(changes)
		return resp, nil
	}
	resp.IsSnapshot = true
	resp.SnapshotRevision = c.config.Revision()
	resp.Snapshot = encodeResources(c.config.Resources())
	return resp, nil
}

func (c *Core) handlePullReply(resp *peerv1.PullResponse) {
	if resp.GetIsSnapshot() {
		c.loadSnapshot(resp.GetSnapshotRevision(), decodeResources(resp.GetSnapshot()))
		return
	}
	c.applyChanges(DecodeChanges(resp.GetChanges()))
}

// pullIfBehind requests the missing changes from the peer with the highest revision, if that is
// higher than this router's.
func (c *Core) pullIfBehind(now time.Time) {
	highest, at := c.members.HighestRevision()
	if highest <= c.config.Revision() {
		return
	}
	if !c.pullStartedAt.IsZero() && now.Sub(c.pullStartedAt) < pullTimeout {
		return
	}
	c.pullStartedAt = now
	c.emit(CallPeer{To: at, Message: &peerv1.PullRequest{
		Protocol: ticket.ProtocolVersion, AfterRevision: c.config.Revision(),
	}})
}

func (c *Core) handleStoreRead(now time.Time, ev StoreReadCompleted) {
	if ev.Failed {
		return
	}
	c.storeReadAt = now
	if ev.Snapshot != nil {
		c.loadSnapshot(ev.Snapshot.Revision, ev.Snapshot.Resources)
	}
	c.applyChanges(ev.Changes)
	c.loadedFromStore = c.loadedFromStore || c.config.Revision() > 0
}

// applyChanges applies the changes that follow the current revision. If there are any, it
// publishes the new table once and forwards the applied changes to peers.
func (c *Core) applyChanges(changes []resource.Change) {
	var applied []resource.Change
	for _, change := range changes {
		if c.config.Apply(change) == config.Applied {
			applied = append(applied, change)
		}
	}
	if len(applied) == 0 {
		return
	}
	table := c.table
	for _, change := range applied {
		table = table.Apply(change.Revision, change.Resources)
	}
	c.publishTable(table)
	encoded := EncodeChanges(applied)
	for _, to := range c.members.RandomPeers(pushFanout) {
		c.emit(CallPeer{To: to, Message: &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: encoded}})
	}
}

func (c *Core) loadSnapshot(revision uint64, resources []resource.Resource) {
	if c.config.LoadSnapshot(revision, resources) == config.Applied {
		c.publishTable(routing.Build(revision, resources))
	}
}

// publishTable applies a routing table to the ledgers and to traffic.
func (c *Core) publishTable(table *routing.Table) {
	c.table = table
	for name, l := range c.ledgers {
		if p, ok := c.table.Pool(name); ok {
			l.SetPool(p, c.table)
		}
	}
	c.emit(PublishTable{Table: c.table})
}

// EncodeChanges converts changes to peer messages.
func EncodeChanges(changes []resource.Change) []*peerv1.Change {
	out := make([]*peerv1.Change, len(changes))
	for i, ch := range changes {
		out[i] = &peerv1.Change{Revision: ch.Revision, Resources: encodeResources(ch.Resources)}
	}
	return out
}

// DecodeChanges converts peer messages to changes.
func DecodeChanges(changes []*peerv1.Change) []resource.Change {
	out := make([]resource.Change, len(changes))
	for i, ch := range changes {
		out[i] = resource.Change{Revision: ch.GetRevision(), Resources: decodeResources(ch.GetResources())}
	}
	return out
}

func encodeResources(resources []resource.Resource) []*peerv1.Resource {
	out := make([]*peerv1.Resource, len(resources))
	for i, r := range resources {
		out[i] = &peerv1.Resource{
			Kind: string(r.Kind), Name: r.Metadata.Name, Generation: r.Metadata.Generation,
			Revision: r.Metadata.ResourceVersion, Uid: r.Metadata.UID, SpecJson: r.Spec, Deleted: r.Deleted,
		}
	}
	return out
}

func decodeResources(resources []*peerv1.Resource) []resource.Resource {
	out := make([]resource.Resource, len(resources))
	for i, r := range resources {
		out[i] = resource.Resource{
			Kind: resource.Kind(r.GetKind()), Spec: r.GetSpecJson(), Deleted: r.GetDeleted(),
			Metadata: resource.Metadata{
				Name: r.GetName(), Generation: r.GetGeneration(), ResourceVersion: r.GetRevision(), UID: r.GetUid(),
			},
		}
	}
	return out
}
