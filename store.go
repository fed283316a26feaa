package chervilladder

import (
	"context"
	"time"
)

// RegistryEvent is one change of a registered upstream.
type RegistryEvent struct {
	ID      UpstreamID
	Removed bool
	// Upstream is nil if the entry doesn't describe a usable upstream.
	Upstream *Registered
}

// Registry lists the registered upstreams.
type Registry interface {
	// List returns all usable upstreams, and the revision to watch from.
	List(ctx context.Context) ([]Registered, StoreRevision, error)
	// Watch waits for changes after a revision, and returns them with the
	// revision to continue from. It returns a *HistoryLostError if the changes
	// are no longer kept, also because the store has come back from an older copy.
	Watch(ctx context.Context, after StoreRevision, wait time.Duration) ([]RegistryEvent, StoreRevision, error)
}

// RoutingSource provides the operator's configuration.
type RoutingSource interface {
	// Current returns the configuration in force, and the revision to watch
	// from, also with the *NotFoundError that it returns while there is none.
	Current(ctx context.Context) (*Routing, StoreRevision, error)
	// Next waits for a newer configuration; nil means that there is none
	// yet. It returns a *HistoryLostError as Registry.Watch does.
	Next(ctx context.Context, after StoreRevision, wait time.Duration) (*Routing, StoreRevision, error)
}

// Leadership is the record of failover leadership: which VM may order
// promotions. Holder and Epoch change together; no two holders use the same
// epoch.
type Leadership struct {
	Holder VMID
	Epoch  Epoch
	// Service and Term identify the promotion that was begun last.
	Service ServiceID
	Term    Term
	// Writes counts the writes of the record. Without it, a renewal by the
	// holder would leave the record unchanged, and other VMs would not
	// observe it.
	Writes uint64
	// Revision is the record's revision; zero, but for the era, means that there is no
	// record.
	Revision StoreRevision
}

// LeadershipRecord keeps the record of failover leadership in the platform's
// store.
type LeadershipRecord interface {
	// ReadLeadership returns the record, or a Leadership that bears the store's era only
	// while there is none.
	ReadLeadership(ctx context.Context) (Leadership, error)
	// WriteLeadership replaces the record if its revision is still that of l, and
	// returns the new record. If the record has another revision, it returns a
	// *LeadershipConflictError with the current record. After any other error
	// it is unknown whether the record was replaced.
	WriteLeadership(ctx context.Context, l Leadership) (Leadership, error)
}

// LeadershipConflictError reports that another VM has changed the record of
// failover leadership.
type LeadershipConflictError struct{ Current Leadership }

// Error names the current holder.
func (e *LeadershipConflictError) Error() string {
	return "failover leadership is held by " + string(e.Current.Holder)
}

// HistoryLostError reports a watch from a revision that is no longer kept.
type HistoryLostError struct{ After StoreRevision }

// Error says what to do.
func (e *HistoryLostError) Error() string {
	return "platform: changes are no longer kept from the requested revision on; list again"
}

// Promoter orders promotions at the platform.
type Promoter interface {
	// Promote orders that an upstream becomes the primary. It is idempotent. A
	// *PromotionRefusedError means that the upstream can't become the primary;
	// after any other error the order may have been accepted.
	Promote(ctx context.Context, l Leadership, s ServiceID, u UpstreamID) error
}

// PromotionRefusedError reports an upstream that can't become the primary.
type PromotionRefusedError struct {
	Upstream UpstreamID
	Status   int
}

// Error names the upstream.
func (e *PromotionRefusedError) Error() string {
	return "platform: upstream " + string(e.Upstream) + " cannot be promoted"
}
