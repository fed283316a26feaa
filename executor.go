package chervilladder

import "context"

// Executor runs work. It is implemented for databases that this VM owns, and for
// those whose work it forwards to another VM:
//
//	x, err := executor.Open(ctx, work)
//	if err != nil {
//		return err // a *NotRunError: nothing was sent
//	}
//	defer x.Close()
//	err = x.Send(batch)
type Executor interface {
	// Open admits work and returns the exchange that runs it. It may return
	// before a slot is free; the first Recv then waits for the slot.
	Open(ctx context.Context, work Work) (Exchange, error)
}

// Exchange carries the batches of one transaction, or a single batch outside a
// transaction, and the replies. It is used by one goroutine at a time, except
// for Cancel.
type Exchange interface {
	// Send sends a batch. The exchange never sends it a second time unless
	// that is certain to be safe.
	Send(b Batch) error
	// Recv returns the next part of the answer. Its errors are a
	// *NotRunError, an *UnknownError, a *DoneError or an
	// *UpstreamLostError.
	Recv() (Reply, error)
	// Cancel asks the upstream to cancel the running statement.
	Cancel()
	// Close ends the exchange. A transaction that is still open is
	// rolled back.
	Close()
}

// Remote opens exchanges at other VMs.
type Remote interface {
	// Open opens an exchange at a VM. Its error is a *NotRunError: nothing
	// was sent.
	Open(ctx context.Context, vm VMID, w Work) (Exchange, error)
}
