package chervilladder

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
)

// secretBytes is the length of a cancel key's secret.
const secretBytes = 4

// The parts of a process id: its sign bit is zero, then come bits of a digest
// of the VM, then random ones.
const (
	processVMBits     = 11
	processRandomBits = 20
)

// CancelKey is what a caller presents on a separate connection to cancel its
// running statement.
type CancelKey struct {
	Process uint32
	Secret  [secretBytes]byte
}

// NewCancelKey returns a random key for a session at a VM.
func NewCancelKey(vm VMID) CancelKey {
	var random [4 + secretBytes]byte
	_, _ = rand.Read(random[:])
	process := binary.BigEndian.Uint32(random[:]) & (1<<processRandomBits - 1)
	return CancelKey{
		Process: digest(vm)<<processRandomBits | process,
		Secret:  [secretBytes]byte(random[4:]),
	}
}

// MayBeOf reports whether the key may have been issued by a VM. The digests of
// VMs may collide, so a key may match several VMs.
func (k CancelKey) MayBeOf(vm VMID) bool {
	return k.Process>>processRandomBits == digest(vm)
}

func digest(vm VMID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return h.Sum32() & (1<<processVMBits - 1)
}

// Canceller cancels the running statement of the session that a key belongs to.
// A key that matches no session is ignored.
type Canceller interface {
	Cancel(ctx context.Context, k CancelKey)
}
