package platform

import "sync/atomic"

// counts counts the calls of the object API. Ordered promotions count as writes.
type counts struct {
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
	waiting atomic.Int64
}

// Counts holds the number of calls of each kind. Waiting is the number of watches
// that wait now.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"watches-waiting"`
}

func (c *counts) load() Counts {
	return Counts{
		Reads:   c.reads.Load(),
		Writes:  c.writes.Load(),
		Watches: c.watches.Load(),
		Waiting: c.waiting.Load(),
	}
}
