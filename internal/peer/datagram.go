package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// Key authenticates the datagrams between VMs. With an empty key, datagrams aren't
// authenticated.
type Key string

// macBytes is the length of the truncated SHA-256 HMAC in a datagram.
const macBytes = 16

// maxAgeMs is the limit of an age in a datagram, in milliseconds.
const maxAgeMs = 1 << 40

// DatagramError reports a datagram that was dropped.
type DatagramError struct {
	From chervilladder.Address
	Err  error
}

// Error names the sender of the datagram and the cause.
func (e *DatagramError) Error() string {
	return fmt.Sprintf("peer %s: datagram dropped: %v; check that all VMs have the same peer key and version", e.From, e.Err)
}

// Unwrap returns the cause.
func (e *DatagramError) Unwrap() error { return e.Err }

var (
	errMAC  = errors.New("wrong authentication code")
	errBody = errors.New("unknown body")
)

// EncodeDatagram encodes a message and, if there is a key, appends its authentication
// code. A replayed datagram does no harm: updates are ordered by incarnation number,
// and answers by sequence number.
func EncodeDatagram(key Key, m chervilladder.GossipMessage) ([]byte, error) {
	data, err := proto.Marshal(encodeGossip(m))
	if err != nil {
		return nil, fmt.Errorf("peer: encode a datagram: %w", err)
	}
	if key == "" {
		return data, nil
	}
	return append(data, key.sum(data)...), nil
}

// DecodeDatagram checks and decodes a datagram.
func DecodeDatagram(key Key, data []byte) (chervilladder.GossipMessage, error) {
	if key != "" {
		if len(data) < macBytes {
			return chervilladder.GossipMessage{}, errMAC
		}
		body := data[:len(data)-macBytes]
		if !hmac.Equal(key.sum(body), data[len(body):]) {
			return chervilladder.GossipMessage{}, errMAC
		}
		data = body
	}
	var m peerpb.GossipMessage
	if err := proto.Unmarshal(data, &m); err != nil {
		return chervilladder.GossipMessage{}, err
	}
	return decodeGossip(&m)
}

func (k Key) sum(data []byte) []byte {
	h := hmac.New(sha256.New, []byte(k))
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

func encodeGossip(m chervilladder.GossipMessage) *peerpb.GossipMessage {
	out := &peerpb.GossipMessage{From: string(m.From), Revision: uint64(m.Revision)}
	if m.ConfirmedAge >= 0 { // negative if never confirmed
		out.ConfirmedMs = proto.Uint64(uint64(m.ConfirmedAge / time.Millisecond))
	}
	for _, u := range m.Updates {
		out.Updates = append(out.Updates, &peerpb.MemberUpdate{
			Vm:          string(u.VM.ID),
			DataCentre:  string(u.VM.DataCentre),
			Peer:        string(u.VM.Peer),
			Leaving:     u.VM.Leaving,
			Health:      uint32(u.Health),
			Incarnation: uint64(u.Incarnation),
		})
	}
	switch b := m.Body.(type) {
	case chervilladder.Ping:
		out.Body = &peerpb.GossipMessage_Ping{Ping: &peerpb.Ping{Sequence: uint64(b.Sequence), Target: string(b.Target)}}
	case chervilladder.IndirectPing:
		out.Body = &peerpb.GossipMessage_IndirectPing{IndirectPing: &peerpb.IndirectPing{
			Sequence: uint64(b.Sequence), Target: string(b.Target), Address: string(b.Address),
		}}
	case chervilladder.Ack:
		out.Body = &peerpb.GossipMessage_Ack{Ack: &peerpb.Ack{Sequence: uint64(b.Sequence)}}
	case chervilladder.Sync:
		out.Body = &peerpb.GossipMessage_Sync{Sync: &peerpb.Sync{Digest: b.Digest}}
	case chervilladder.MemberList:
		out.Body = &peerpb.GossipMessage_MemberList{MemberList: &peerpb.MemberList{}}
	case chervilladder.Notice: // no body: the message carries the revision and the updates
		out.Body = &peerpb.GossipMessage_Notice{Notice: &peerpb.Notice{}}
	}
	return out
}

func decodeGossip(m *peerpb.GossipMessage) (chervilladder.GossipMessage, error) {
	out := chervilladder.GossipMessage{
		From:     chervilladder.VMID(m.GetFrom()),
		Revision: chervilladder.Revision(m.GetRevision()),
	}
	out.ConfirmedAge = -1
	if m.ConfirmedMs != nil {
		out.ConfirmedAge = time.Duration(min(m.GetConfirmedMs(), maxAgeMs)) * time.Millisecond
	}
	for _, u := range m.GetUpdates() {
		out.Updates = append(out.Updates, chervilladder.MemberUpdate{
			VM: chervilladder.VM{
				ID:         chervilladder.VMID(u.GetVm()),
				DataCentre: chervilladder.DataCentreID(u.GetDataCentre()),
				Peer:       chervilladder.Address(u.GetPeer()),
				Leaving:    u.GetLeaving(),
			},
			Health:      min(chervilladder.Health(min(u.GetHealth(), 255)), chervilladder.HealthDead),
			Incarnation: chervilladder.Incarnation(u.GetIncarnation()),
		})
	}
	switch b := m.GetBody().(type) {
	case *peerpb.GossipMessage_Ping:
		out.Body = chervilladder.Ping{Sequence: chervilladder.ProbeSequence(b.Ping.GetSequence()), Target: chervilladder.VMID(b.Ping.GetTarget())}
	case *peerpb.GossipMessage_IndirectPing:
		out.Body = chervilladder.IndirectPing{
			Sequence: chervilladder.ProbeSequence(b.IndirectPing.GetSequence()),
			Target:   chervilladder.VMID(b.IndirectPing.GetTarget()),
			Address:  chervilladder.Address(b.IndirectPing.GetAddress()),
		}
	case *peerpb.GossipMessage_Ack:
		out.Body = chervilladder.Ack{Sequence: chervilladder.ProbeSequence(b.Ack.GetSequence())}
	case *peerpb.GossipMessage_Sync:
		out.Body = chervilladder.Sync{Digest: b.Sync.GetDigest()}
	case *peerpb.GossipMessage_MemberList:
		out.Body = chervilladder.MemberList{}
	case *peerpb.GossipMessage_Notice:
		out.Body = chervilladder.Notice{}
	default:
		return chervilladder.GossipMessage{}, errBody
	}
	return out, nil
}
