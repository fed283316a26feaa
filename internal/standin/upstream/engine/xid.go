package engine

import "sync"

// promotionGap is by how much ids of transactions rise at a promotion, so that
// none that the former primary gave out is given out again.
const promotionGap = 1_000_000

// firstXID is the first id that a group gives out.
const firstXID XID = 1000

// maxStatuses is of how many transactions the status is kept.
const maxStatuses = 1_000_000

// Status is what became of a transaction.
type Status string

// The statuses. The empty one means that the member doesn't know.
const (
	StatusInProgress Status = "in progress"
	StatusCommitted  Status = "committed"
	StatusAborted    Status = "aborted"
)

// xidTable gives out the ids of transactions and keeps their statuses.
type xidTable struct {
	mu       sync.Mutex
	last     XID
	statuses map[XID]Status
}

func newXIDTable() *xidTable {
	return &xidTable{last: firstXID - 1, statuses: map[XID]Status{}}
}

func (x *xidTable) assign() XID {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last++
	x.set(x.last, StatusInProgress)
	return x.last
}

// note keeps the status of a transaction, and its id from being given out.
func (x *xidTable) note(id XID, s Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last = max(x.last, id)
	x.set(id, s)
}

// skip leaves out the ids that a former primary may have given out.
func (x *xidTable) skip() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last += promotionGap
}

func (x *xidTable) status(id XID) Status {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.statuses[id]
}

// committed returns the ids of the transactions known as committed.
func (x *xidTable) committed() []XID {
	x.mu.Lock()
	defer x.mu.Unlock()
	var ids []XID
	for id, s := range x.statuses {
		if s == StatusCommitted {
			ids = append(ids, id)
		}
	}
	return ids
}

// replace forgets all statuses but those of committed transactions.
func (x *xidTable) replace(last XID, committed []XID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last = max(x.last, last)
	x.statuses = map[XID]Status{}
	for _, id := range committed {
		x.set(id, StatusCommitted)
	}
}

func (x *xidTable) set(id XID, s Status) {
	x.statuses[id] = s
	if id > maxStatuses {
		delete(x.statuses, id-maxStatuses)
	}
}
