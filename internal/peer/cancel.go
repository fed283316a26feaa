package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

var _ chervilladder.Canceller = (*Client)(nil)

// Cancel forwards a cancel request to the other VMs that may have issued its key. An
// unreachable VM is skipped: cancelling is best effort.
func (c *Client) Cancel(ctx context.Context, k chervilladder.CancelKey) {
	request := &peerpb.CancelRequest{Process: k.Process, Secret: k.Secret[:]}
	for id, m := range c.board.Members.Load().Members {
		if id == c.board.Self.ID || m.State == blackboard.MemberDead || !k.MayBeOf(id) {
			continue
		}
		if client, err := c.client(m.VM.Peer); err == nil {
			_, _ = client.Cancel(ctx, request)
		}
	}
}

// Cancel cancels the running statement of a session at this VM.
func (s *service) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	k := chervilladder.CancelKey{Process: r.GetProcess()}
	if len(r.GetSecret()) != len(k.Secret) {
		return nil, status.Errorf(codes.InvalidArgument, "a secret of %d bytes", len(r.GetSecret()))
	}
	copy(k.Secret[:], r.GetSecret())
	if s.Canceller != nil {
		s.Canceller.Cancel(ctx, k)
	}
	return &peerpb.CancelResponse{}, nil
}
