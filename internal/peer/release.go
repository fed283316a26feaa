package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// viewTimeout is how long two VMs may disagree about the owner of a database before
// the release fails.
const viewTimeout = time.Second

// Release waits until this VM has nothing in flight on a database.
func (s *service) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	id := chervilladder.DatabaseID(r.GetDatabase())
	if !s.awaitOtherOwner(ctx, id) {
		return nil, status.Error(codes.FailedPrecondition, "this VM takes itself for the owner")
	}
	db, known := s.Board.Databases.Find(id)
	if !known {
		return &peerpb.ReleaseResponse{}, nil
	}
	if err := db.InFlight.AwaitNone(ctx); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &peerpb.ReleaseResponse{}, nil
}

// awaitOtherOwner waits until another VM owns a database in this VM's view.
func (s *service) awaitOtherOwner(ctx context.Context, id chervilladder.DatabaseID) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	for {
		owners, changed := s.Board.Owners.Watch()
		if owners.ByDatabase[id] != s.Board.Self.ID {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
