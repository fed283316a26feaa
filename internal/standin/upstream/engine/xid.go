package engine

import "sync"

// promotionGap is added to the last transaction id at a promotion, so that no
// id that the former primary assigned is assigned again.
const promotionGap = 1_000_000

// firstXID is the first transaction id that a group assigns.
const firstXID XID = 1000

// maxStatuses is the distance in ids after which a transaction's status is
// dropped. An id that is assigned or recorded drops the status of the id that
// far below it and no other, so that the statuses of the ids below the gap that
// a promotion leaves stay.
const maxStatuses = 1_000_000

// Status is the status of a transaction.
type Status string

// The statuses of a transaction. The empty one means that the member doesn't
// know the transaction.
const (
	StatusInProgress Status = "in progress"
	StatusCommitted  Status = "committed"
	StatusAborted    Status = "aborted"
)

// xidTable assigns transaction ids and keeps the transactions' statuses.
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

// record records the status of a transaction, and makes sure that its id isn't
// assigned again.
func (x *xidTable) record(id XID, s Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last = max(x.last, id)
	x.set(id, s)
}

// skipAssigned skips the ids that the former primary may have assigned.
func (x *xidTable) skipAssigned() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last += promotionGap
}

func (x *xidTable) status(id XID) Status {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.statuses[id]
}

// committed returns the ids of the transactions known to be committed.
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

// replace replaces all statuses by those of another member's committed
// transactions.
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
