package peer

import (
	"context"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Run closes the connections to VMs that are believed dead, until the context
// ends. Work that waits for such a VM learns at once that no answer will come;
// a paused VM would otherwise hold it until its deadline.
func (c *Client) Run(ctx context.Context) error {
	for {
		members, changed := c.board.Members.Watch()
		c.reap(members)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Client) reap(members blackboard.Membership) {
	for _, m := range members.Members {
		if m.State == blackboard.MemberDead {
			c.drop(m.VM.Peer)
		}
	}
}

// drop closes the connection to a peer. The next work for it opens a new one.
func (c *Client) drop(a chervilladder.Address) {
	c.mu.Lock()
	conn, ok := c.conns[a]
	delete(c.conns, a)
	c.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}
