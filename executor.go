package chervilladder

import "context"

// Executor runs work. The VM that owns a database is an executor for it, and
// so is a peer that forwards to the owner:
//
//	x, err := executor.Open(ctx, work)
//	if err != nil {
//		return err // a *NotRunError: nothing was sent
//	}
//	defer x.Close()
//	err = x.Send(batch)
type Executor interface {
	// Open admits work and returns the exchange that runs it. It may
	// return before a slot is free; the first Recv waits for it.
	Open(ctx context.Context, work Work) (Exchange, error)
}

// Exchange carries the batches of one transaction, or one lone batch, and the
// replies to them. It is used by one goroutine at a time, except for Cancel.
type Exchange interface {
	// Send passes on a batch. A batch that is sent once is never sent
	// again by the exchange unless that is certain to be harmless.
	Send(b Batch) error
	// Recv returns the next part of the answer. Its errors are a
	// *NotRunError, an *UnknownError or an *UpstreamLostError.
	Recv() (Reply, error)
	// Cancel asks the upstream to stop the running statement.
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
