package peer

import (
	"context"

	"google.golang.org/grpc/connectivity"

	"github.com/chervilladder/chervilladder"
)

// KeepConnected keeps the connection to a peer open until the context ends. It calls
// report with false when an attempt to connect has failed, and with true once the
// connection is open.
func (c *Client) KeepConnected(ctx context.Context, peer chervilladder.Address, report func(connected bool)) {
	conn, err := c.conn(peer)
	if err != nil {
		report(false)
		return
	}
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			report(true)
		case connectivity.TransientFailure:
			report(false)
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Shutdown:
			report(false)
			return
		}
		if !conn.WaitForStateChange(ctx, state) {
			return
		}
	}
}
