package engine

import (
	"context"
	"slices"
	"sync"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// rowKey identifies a row.
type rowKey struct {
	table sql.TableName
	id    RowID
}

// lock is the lock of one row, with the queue of the waiting transactions.
type lock struct {
	owner *Txn
	queue []*lockWait
}

// lockWait is one transaction's wait for a lock.
type lockWait struct {
	txn     *Txn
	granted chan struct{}
}

// lockTable holds the locks of all locked rows.
type lockTable struct {
	mu    sync.Mutex
	locks map[rowKey]*lock
}

func newLockTable() *lockTable { return &lockTable{locks: map[rowKey]*lock{}} }

// acquire locks a row for a transaction, and waits while another transaction
// holds the lock.
func (t *lockTable) acquire(ctx context.Context, txn *Txn, key rowKey) error {
	wait, err := t.lockOrEnqueue(txn, key)
	if wait == nil || err != nil {
		return err
	}
	select {
	case <-wait.granted:
	case <-txn.ended:
		t.cancelWait(wait, key)
	case <-ctx.Done():
		t.cancelWait(wait, key)
		return context.Cause(ctx)
	}
	if err := txn.Err(); err != nil {
		// The lock may have been granted after the transaction ended.
		t.release(txn)
		return err
	}
	return nil
}

// lockOrEnqueue takes the lock and returns nil, or appends a wait to its queue
// and returns it.
func (t *lockTable) lockOrEnqueue(txn *Txn, key rowKey) (*lockWait, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := txn.Err(); err != nil {
		return nil, err
	}
	l := t.locks[key]
	if l == nil {
		t.locks[key] = &lock{owner: txn}
		txn.held = append(txn.held, key)
		return nil, nil
	}
	if l.owner == txn {
		return nil, nil
	}
	if l.dependsOn(txn) {
		return nil, pgerror.New(pgerror.Deadlock, "deadlock detected")
	}
	wait := &lockWait{txn: txn, granted: make(chan struct{})}
	l.queue = append(l.queue, wait)
	txn.waiting = l
	return wait, nil
}

// dependsOn reports whether the lock's owner is txn or waits for it, directly
// or through other transactions, so that a wait of txn for the lock would close
// a cycle.
func (l *lock) dependsOn(txn *Txn) bool {
	for l != nil {
		if l.owner == txn {
			return true
		}
		l = l.owner.waiting
	}
	return false
}

// cancelWait removes a wait from the lock's queue.
func (t *lockTable) cancelWait(wait *lockWait, key rowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait.txn.waiting = nil
	if l := t.locks[key]; l != nil {
		l.queue = slices.DeleteFunc(l.queue, func(w *lockWait) bool { return w == wait })
	}
}

// release releases all locks of a transaction.
func (t *lockTable) release(txn *Txn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range txn.held {
		t.grantNext(key)
	}
	txn.held = nil
}

// grantNext gives a lock to the first transaction in its queue, or removes the
// lock when none waits.
func (t *lockTable) grantNext(key rowKey) {
	l := t.locks[key]
	if len(l.queue) == 0 {
		delete(t.locks, key)
		return
	}
	next := l.queue[0]
	l.queue = l.queue[1:]
	l.owner = next.txn
	next.txn.waiting = nil
	next.txn.held = append(next.txn.held, key)
	close(next.granted)
}
