package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// The limits of what peers may send about quotas.
const (
	maxLendDemands  = 4096
	maxAccountBytes = 1024
	maxOperations   = 1 << 32
	maxLoanTime     = time.Minute
)

var _ chervilladder.PeerQuotaLender = (*Client)(nil)

// Lend borrows parts of quotas from a peer. Loans that can't be valid are returned as
// loans of nothing.
func (c *Client) Lend(ctx context.Context, peer chervilladder.Address, demands []chervilladder.QuotaDemand) ([]chervilladder.QuotaLoan, error) {
	client, err := c.client(peer)
	if err != nil {
		return nil, err
	}
	request := &peerpb.LendRequest{}
	for _, d := range demands[:min(len(demands), maxLendDemands)] {
		request.Demands = append(request.Demands, &peerpb.QuotaDemand{Account: string(d.Account), Operations: float64(d.Operations)})
	}
	r, err := client.Lend(withCallingVM(ctx, c.board.Self.ID), request)
	if status.Code(err) == codes.FailedPrecondition {
		return nil, &chervilladder.UnknownBorrowerError{VM: c.board.Self.ID}
	}
	if err != nil {
		return nil, fmt.Errorf("peer %s: lend: %w", peer, err)
	}
	loans := make([]chervilladder.QuotaLoan, 0, len(demands))
	for _, l := range r.GetLoans()[:min(len(r.GetLoans()), len(demands))] {
		loans = append(loans, chervilladder.QuotaLoan{
			Account:    chervilladder.AccountID(l.GetAccount()),
			Operations: decodeOperations(l.GetOperations()),
			Lifetime:   decodeLoanTime(l.GetLifetimeUs()),
			RetryAfter: decodeLoanTime(l.GetRetryAfterUs()),
		})
	}
	return loans, nil
}

// Lend lends parts of quotas to a peer.
func (s *service) Lend(ctx context.Context, r *peerpb.LendRequest) (*peerpb.LendResponse, error) {
	if s.QuotaLender == nil {
		return nil, status.Error(codes.Unimplemented, "this VM lends no quotas")
	}
	if n := len(r.GetDemands()); n > maxLendDemands {
		return nil, status.Errorf(codes.InvalidArgument, "%d demands, at most %d are allowed", n, maxLendDemands)
	}
	demands := make([]chervilladder.QuotaDemand, 0, len(r.GetDemands()))
	for _, d := range r.GetDemands() {
		if len(d.GetAccount()) > maxAccountBytes {
			return nil, status.Errorf(codes.InvalidArgument, "an account's name of %d bytes", len(d.GetAccount()))
		}
		demands = append(demands, chervilladder.QuotaDemand{
			Account: chervilladder.AccountID(d.GetAccount()), Operations: decodeOperations(d.GetOperations()),
		})
	}
	loans, err := s.QuotaLender.Lend(ctx, callingVM(ctx), demands)
	var unknown *chervilladder.UnknownBorrowerError
	if errors.As(err, &unknown) {
		return nil, status.Error(codes.FailedPrecondition, unknown.Error())
	}
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	response := &peerpb.LendResponse{}
	for _, l := range loans {
		response.Loans = append(response.Loans, &peerpb.QuotaLoan{
			Account: string(l.Account), Operations: float64(l.Operations),
			LifetimeUs: encodeLoanTime(l.Lifetime), RetryAfterUs: encodeLoanTime(l.RetryAfter),
		})
	}
	return response, nil
}

// decodeOperations returns a number of operations, or 0 for one that is not a number,
// negative or too large.
func decodeOperations(n float64) chervilladder.Operations {
	if math.IsNaN(n) || n < 0 || n > maxOperations {
		return 0
	}
	return chervilladder.Operations(n)
}

func encodeLoanTime(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

func decodeLoanTime(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxLoanTime.Microseconds()))) * time.Microsecond
}
