package chervilladder

import (
	"context"
	"time"
)

// Incarnation orders the updates about one VM. A VM takes its first incarnation
// from its clock and raises it to refute what others report about it.
type Incarnation uint64

// ProbeSequence matches an Ack to its probe.
type ProbeSequence uint64

// Health is the health of a VM as judged by probes.
type Health uint8

// The values of Health. Of two updates with the same incarnation, the one with
// the higher value wins.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
)

// MemberUpdate is a gossip update about one VM, which is a member of the system.
// It is unrelated to Member and MemberStatus, which concern the members of a
// database's group. VM.Leaving is set once the VM drains.
type MemberUpdate struct {
	VM          VM
	Health      Health
	Incarnation Incarnation
}

// GossipMessage is a message of the gossip protocol between VMs.
type GossipMessage struct {
	From VMID
	// Revision is the revision of the configuration in force at the sender.
	Revision Revision
	// ConfirmedAge is how long ago the platform last confirmed that there is
	// nothing newer; negative if it never has.
	ConfirmedAge time.Duration
	Updates      []MemberUpdate
	Body         GossipBody
}

// GossipBody is one of Ping, IndirectPing, Ack, Sync, MemberList and Notice.
type GossipBody interface{ gossipBody() }

// Ping probes a VM. A VM with another id doesn't answer.
type Ping struct {
	Sequence ProbeSequence
	Target   VMID
}

// IndirectPing asks a VM to ping the target on behalf of the sender.
type IndirectPing struct {
	Sequence ProbeSequence
	Target   VMID
	Address  Address
}

// Ack answers a Ping or an IndirectPing.
type Ack struct{ Sequence ProbeSequence }

// Sync requests the list of members unless the list has the given digest.
type Sync struct{ Digest uint64 }

// MemberList is a part of the answer to a Sync; the updates hold the members.
type MemberList struct{}

// Notice has no body; the message carries the sender's revision.
type Notice struct{}

func (Ping) gossipBody()         {}
func (IndirectPing) gossipBody() {}
func (Ack) gossipBody()          {}
func (Sync) gossipBody()         {}
func (MemberList) gossipBody()   {}
func (Notice) gossipBody()       {}

// Gossip carries messages between VMs. Messages may be lost, duplicated or
// reordered.
type Gossip interface {
	// Send sends a message without waiting for its delivery.
	Send(to Address, m GossipMessage) error
	// Receive waits for the next message and returns it with the address
	// to answer to.
	Receive(ctx context.Context) (Address, GossipMessage, error)
}

// Releaser asks other VMs to release databases that they no longer own.
type Releaser interface {
	// Release returns once a VM has no work in flight on a database that it no
	// longer owns.
	Release(ctx context.Context, vm VMID, db DatabaseID) error
}

// Relayed is a published configuration as peers relay it.
type Relayed struct {
	// Encoded is empty if the peer has nothing newer.
	Encoded []byte
	// Delta is set if Encoded holds only the difference from the requested
	// revision.
	Delta bool
}

// Relay fetches published configurations from peers.
type Relay interface {
	// Pull requests a configuration newer than a revision from a peer.
	Pull(ctx context.Context, peer Address, newerThan Revision) (Relayed, error)
}
