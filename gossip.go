package chervilladder

import (
	"context"
	"time"
)

// Incarnation orders what is said of one VM. A VM starts with one taken from
// its clock and raises it to contradict what others say of it.
type Incarnation uint64

// ProbeSequence matches the answer of a probe to the probe.
type ProbeSequence uint64

// Health is what is believed of a VM by the evidence of probes.
type Health uint8

// The values of a health. Of the same incarnation, the higher one holds.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
)

// MemberUpdate says something of one VM. VM.Leaving is set once it drains.
type MemberUpdate struct {
	VM          VM
	Health      Health
	Incarnation Incarnation
}

// GossipMessage is what VMs tell each other without being asked.
type GossipMessage struct {
	From VMID
	// Revision is the configuration that is in force at the sender.
	Revision Revision
	// Confirmed is how long ago the platform last confirmed that there is
	// nothing newer; negative while it never has.
	Confirmed time.Duration
	Updates   []MemberUpdate
	Body      GossipBody
}

// GossipBody is one of Ping, IndirectPing, Ack, Sync, MemberList and Notice.
type GossipBody interface{ gossipBody() }

// Ping asks a VM whether it is alive. A VM of another id doesn't answer.
type Ping struct {
	Sequence ProbeSequence
	Target   VMID
}

// IndirectPing asks a VM to ping another one on behalf of the sender.
type IndirectPing struct {
	Sequence ProbeSequence
	Target   VMID
	Address  Address
}

// Ack answers a Ping or an IndirectPing.
type Ack struct{ Sequence ProbeSequence }

// Sync asks for the list of members unless it has the given digest.
type Sync struct{ Digest uint64 }

// MemberList is a part of the answer to a Sync; the updates hold the members.
type MemberList struct{}

// Notice only carries the revision of its sender.
type Notice struct{}

func (Ping) gossipBody()         {}
func (IndirectPing) gossipBody() {}
func (Ack) gossipBody()          {}
func (Sync) gossipBody()         {}
func (MemberList) gossipBody()   {}
func (Notice) gossipBody()       {}

// Gossip carries messages between VMs. Messages may be lost, doubled and
// overtake each other.
type Gossip interface {
	// Send sends a message and doesn't wait for its arrival.
	Send(to Address, m GossipMessage) error
	// Receive waits for the next message and returns it with the address
	// that answers are to be sent to.
	Receive(ctx context.Context) (Address, GossipMessage, error)
}

// Handover asks other VMs to hand databases over.
type Handover interface {
	// Release returns once a VM has nothing in flight on a database that
	// it no longer owns.
	Release(ctx context.Context, vm VMID, db DatabaseID) error
}

// Relayed is a published configuration as peers pass it on.
type Relayed struct {
	// Encoded is empty if the peer has nothing newer.
	Encoded []byte
	// Delta is set if Encoded only tells the difference from the revision
	// that was named.
	Delta bool
}

// Relay fetches published configurations from peers.
type Relay interface {
	// Pull asks a peer for a configuration newer than a revision.
	Pull(ctx context.Context, peer Address, newerThan Revision) (Relayed, error)
}
