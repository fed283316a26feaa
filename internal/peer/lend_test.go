package peer

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// openLender lends what is demanded, and keeps the last request.
type openLender struct {
	borrower chervilladder.VMID
	demands  []chervilladder.QuotaDemand
}

func (l *openLender) Lend(_ context.Context, borrower chervilladder.VMID, demands []chervilladder.QuotaDemand) ([]chervilladder.QuotaLoan, error) {
	l.borrower, l.demands = borrower, demands
	if len(demands) == 0 {
		return nil, &chervilladder.UnknownBorrowerError{VM: borrower}
	}
	var loans []chervilladder.QuotaLoan
	for _, d := range demands {
		loans = append(loans, chervilladder.QuotaLoan{Account: d.Account, Operations: d.Operations, Lifetime: time.Second, RetryAfter: -time.Second})
	}
	return loans, nil
}

func TestLend(t *testing.T) {
	is := is.New(t)
	lender := &openLender{}
	client, address, stop := serve(t, ServerConfig{QuotaLender: lender})
	defer stop()
	loans, err := client.Lend(t.Context(), address, []chervilladder.QuotaDemand{{Account: "a", Operations: 3}})
	is.NoErr(err)
	is.Equal(loans, []chervilladder.QuotaLoan{{Account: "a", Operations: 3, Lifetime: time.Second}})
	is.Equal(lender.borrower, chervilladder.VMID("vm-1"))

	_, err = client.Lend(t.Context(), address, nil)
	var unknown *chervilladder.UnknownBorrowerError
	is.True(errors.As(err, &unknown))
}

func TestLendOfInvalidRequests(t *testing.T) {
	is := is.New(t)
	lender := &openLender{}
	s := &service{ServerConfig: ServerConfig{QuotaLender: lender}}
	for _, n := range []float64{math.NaN(), -1, math.Inf(1), math.Inf(-1), 1e300} {
		_, err := s.Lend(t.Context(), &peerpb.LendRequest{Demands: []*peerpb.QuotaDemand{{Account: "a", Operations: n}}})
		is.NoErr(err)
		is.Equal(lender.demands[0].Operations, chervilladder.Operations(0))
	}
	_, err := s.Lend(t.Context(), &peerpb.LendRequest{Demands: make([]*peerpb.QuotaDemand, maxLendDemands+1)})
	is.True(err != nil)
	_, err = s.Lend(t.Context(), &peerpb.LendRequest{Demands: []*peerpb.QuotaDemand{{Account: string(make([]byte, maxAccountBytes+1))}}})
	is.True(err != nil)
	is.Equal(decodeLoanTime(math.MaxUint64), maxLoanTime)
}
