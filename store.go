package chervilladder

import (
	"context"
	"time"
)

// RegistryEvent is one change of the upstreams that have registered.
type RegistryEvent struct {
	ID      UpstreamID
	Removed bool
	// Upstream is nil if the entry names no upstream that can be used.
	Upstream *Registered
}

// Registry lists the upstreams that have registered.
type Registry interface {
	// List returns every usable upstream, and where to watch from.
	List(ctx context.Context) ([]Registered, Revision, error)
	// Watch waits for changes after a revision, and returns where to go on.
	// It returns a *HistoryLostError if they are not kept any more.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]RegistryEvent, Revision, error)
}

// RoutingSource holds the operator's configuration.
type RoutingSource interface {
	// Current returns the configuration in force, and where to watch from.
	// It returns a *NotFoundError while there is none.
	Current(ctx context.Context) (*Routing, Revision, error)
	// Next waits for a newer configuration; nil means that there is none
	// yet. It returns a *HistoryLostError as Registry does.
	Next(ctx context.Context, after Revision, wait time.Duration) (*Routing, Revision, error)
}

// Duty is the record of who may order promotions. Holder and Epoch change
// together; an epoch is never used by two holders.
type Duty struct {
	Holder VMID
	Epoch  Epoch
	// Service and Term tell of the promotion that was begun last.
	Service ServiceID
	Term    Term
	// Writes counts the writes of the record. A write that changed nothing would
	// not be seen by others.
	Writes uint64
	// Revision is that of the record; zero means that there is none.
	Revision Revision
}

// Epoch is a fencing token: it rises whenever the duty's holder changes.
type Epoch uint64

// DutyRecord keeps the record in the platform's store.
type DutyRecord interface {
	// Read returns the record, or a zero Duty while there is none.
	Read(ctx context.Context) (Duty, error)
	// Write replaces the record if its revision is still that of d, and
	// returns the record as it then stands. A *DutyConflictError holds the
	// record that was found instead; any other error leaves it open
	// whether the record was replaced.
	Write(ctx context.Context, d Duty) (Duty, error)
}

// DutyConflictError reports a record that another VM has replaced.
type DutyConflictError struct{ Current Duty }

// Error names the holder that was found.
func (e *DutyConflictError) Error() string {
	return "duty is held by " + string(e.Current.Holder)
}

// HistoryLostError reports a watch from a revision that is no longer kept.
type HistoryLostError struct{ After Revision }

// Error says what to do.
func (e *HistoryLostError) Error() string {
	return "platform: history is gone; list again"
}

// Promoter orders promotions at the platform.
type Promoter interface {
	// Promote names the upstream that is to be the primary. It is safe to
	// repeat. A *PromotionRefusedError says that the upstream is not
	// running; after any other error the order may have been taken.
	Promote(ctx context.Context, d Duty, s ServiceID, u UpstreamID) error
}

// PromotionRefusedError reports an upstream that can't become the primary.
type PromotionRefusedError struct {
	Upstream UpstreamID
	Status   int
}

// Error names the upstream.
func (e *PromotionRefusedError) Error() string {
	return "platform: upstream " + string(e.Upstream) + " can't be promoted"
}
