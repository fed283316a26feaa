package chervilladder

import "context"

// ObjectKind names a kind of object in the platform's store.
type ObjectKind string

// ObjectName names an object within its kind.
type ObjectName string

// The kinds of objects that the proxy stores.
const (
	// KindIndex holds one object: the list of the service files in force.
	KindIndex ObjectKind = "index"
	// KindService holds the immutable contents of service files.
	KindService ObjectKind = "service"
	// KindGroup holds the recorded primary of each database.
	KindGroup ObjectKind = "group"
)

// Object is a value in the platform's store.
type Object struct {
	Kind    ObjectKind
	Name    ObjectName
	Version Version
	Value   []byte
}

// VM is one entry of the platform's list of VMs, or one member of the system.
type VM struct {
	ID         VMID
	DataCentre DataCentreID
	// Peer is the address at which peers reach the VM.
	Peer    Address
	Leaving bool
}

// Platform is the platform's object API. Each call, and each waiting watch,
// counts against the platform's rate limits.
type Platform interface {
	// Get returns an object, or a *NotFoundError.
	Get(ctx context.Context, kind ObjectKind, name ObjectName) (Object, error)
	// Put writes an object if its stored version is still that of o; version
	// zero means that it must not exist. It returns a *ConflictError otherwise.
	// If the call fails, it returns a *PlatformError, whose field Unknown says
	// whether the change may have been made.
	Put(ctx context.Context, o Object) (Version, error)
	// Watch returns the objects of a kind that have changed after the given
	// version, and waits for a change if there are none. It returns an empty
	// list if the platform ends the wait.
	Watch(ctx context.Context, kind ObjectKind, after Version) ([]Object, error)
	// VMs returns the platform's list of VMs, which lags.
	VMs(ctx context.Context) ([]VM, error)
}
