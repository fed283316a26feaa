package peer

import (
	"context"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Run closes the connections to VMs that the membership lists as dead, until the context
// ends. Work that waits for such a VM then fails at once. Otherwise, work that waits for a
// VM that is only paused would wait until its deadline.
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

// drop closes the connection to a peer. The next call opens a new one.
func (c *Client) drop(a chervilladder.Address) {
	c.mu.Lock()
	conn, ok := c.conns[a]
	delete(c.conns, a)
	c.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}
