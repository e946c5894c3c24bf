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

// pushFanout is the number of peers that a router passes a new change on to. Two
// reach 340 routers in about nine rounds; gossip catches the rest.
const pushFanout = 2

// pullTimeout is how long an unanswered pull keeps another one from starting.
const pullTimeout = 2 * time.Second

func (c *Core) handlePush(m *peerv1.PushRequest) (proto.Message, error) {
	c.applyAll(DecodeChanges(m.GetChanges()))
	return &peerv1.PushResponse{Router: c.settings.Self, Revision: c.config.Revision()}, nil
}

func (c *Core) handlePull(m *peerv1.PullRequest) (proto.Message, error) {
	resp := &peerv1.PullResponse{Head: c.config.Revision()}
	changes, kept := c.config.ChangesSince(m.GetAfterRevision())
	if kept {
		resp.Changes = EncodeChanges(changes)
		return resp, nil
	}
	resp.IsSnapshot = true
	resp.SnapshotRevision = c.config.Revision()
	resp.Snapshot = resourcesToWire(c.config.Resources())
	return resp, nil
}

func (c *Core) pulled(resp *peerv1.PullResponse) {
	if resp.GetIsSnapshot() {
		c.load(resp.GetSnapshotRevision(), resourcesFromWire(resp.GetSnapshot()))
		return
	}
	c.applyAll(DecodeChanges(resp.GetChanges()))
}

// pullIfBehind asks a peer that has a higher revision for what is missing.
func (c *Core) pullIfBehind(now time.Time) {
	highest, at := c.members.HighestRevision()
	if highest <= c.config.Revision() {
		return
	}
	if !c.pulling.IsZero() && now.Sub(c.pulling) < pullTimeout {
		return
	}
	c.pulling = now
	c.emit(CallPeer{To: at, Message: &peerv1.PullRequest{
		Protocol: ticket.ProtocolVersion, AfterRevision: c.config.Revision(),
	}})
}

func (c *Core) storeWasRead(now time.Time, ev StoreReadCompleted) {
	if ev.Failed {
		return
	}
	c.storeRead = now
	if ev.Snapshot != nil {
		c.load(ev.Snapshot.Revision, ev.Snapshot.Resources)
	}
	c.applyAll(ev.Changes)
	c.fromStore = c.fromStore || c.config.Revision() > 0
}

// applyAll puts the changes in force that come next, publishes once, and passes
// them on.
func (c *Core) applyAll(changes []resource.Change) {
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
	c.publish(table)
	wire := EncodeChanges(applied)
	for _, to := range c.members.RandomPeers(pushFanout) {
		c.emit(CallPeer{To: to, Message: &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: wire}})
	}
}

func (c *Core) load(revision uint64, resources []resource.Resource) {
	if c.config.LoadSnapshot(revision, resources) == config.Applied {
		c.publish(routing.Build(revision, resources))
	}
}

func (c *Core) publish(table *routing.Table) {
	c.table = table
	for name, l := range c.ledgers {
		if p, ok := c.table.Pool(name); ok {
			l.SetPool(p, c.table)
		}
	}
	c.emit(PublishTable{Table: c.table})
}

// EncodeChanges encodes changes for a peer.
func EncodeChanges(changes []resource.Change) []*peerv1.Change {
	out := make([]*peerv1.Change, len(changes))
	for i, ch := range changes {
		out[i] = &peerv1.Change{Revision: ch.Revision, Resources: resourcesToWire(ch.Resources)}
	}
	return out
}

// DecodeChanges decodes a peer's changes.
func DecodeChanges(changes []*peerv1.Change) []resource.Change {
	out := make([]resource.Change, len(changes))
	for i, ch := range changes {
		out[i] = resource.Change{Revision: ch.GetRevision(), Resources: resourcesFromWire(ch.GetResources())}
	}
	return out
}

func resourcesToWire(resources []resource.Resource) []*peerv1.Resource {
	out := make([]*peerv1.Resource, len(resources))
	for i, r := range resources {
		out[i] = &peerv1.Resource{
			Kind: string(r.Kind), Name: r.Metadata.Name, Generation: r.Metadata.Generation,
			Revision: r.Metadata.ResourceVersion, Uid: r.Metadata.UID, SpecJson: r.Spec, Deleted: r.Deleted,
		}
	}
	return out
}

func resourcesFromWire(resources []*peerv1.Resource) []resource.Resource {
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
