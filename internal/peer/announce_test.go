package peer

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// candidacies keeps the last candidacy, and answers with a mark or an error.
type candidacies struct {
	last     chervilladder.Candidacy
	reported chervilladder.Mark
	pending  []chervilladder.Candidacy
	err      error
}

func (a *candidacies) AcceptCandidacy(_ context.Context, c chervilladder.Candidacy) (chervilladder.CandidacyReply, error) {
	a.last = c
	return chervilladder.CandidacyReply{Reported: a.reported, Pending: a.pending}, a.err
}

func TestAnnounce(t *testing.T) {
	is := is.New(t)
	other := chervilladder.Candidacy{Service: "s", Candidate: "i-2", By: "vm-2", Replaces: 2, Process: 9, Sequence: 4, ValidFor: time.Second, TookEffect: true}
	accepted := &candidacies{reported: chervilladder.Mark{Term: 3, Position: 7}, pending: []chervilladder.Candidacy{other}}
	client, address, stop := serve(t, ServerConfig{Candidacies: accepted})
	defer stop()
	sent := chervilladder.Candidacy{Service: "s", Candidate: "i-1", By: "vm-1", Replaces: 3, Process: 7, Sequence: 2, ValidFor: 14 * time.Second}
	for _, validFor := range []time.Duration{14 * time.Second, time.Microsecond, 0} {
		sent.ValidFor = validFor
		reply, err := client.AcceptCandidacy(t.Context(), address, sent)
		is.NoErr(err)
		is.Equal(accepted.last, sent)
		is.Equal(reply, chervilladder.CandidacyReply{Reported: accepted.reported, Pending: accepted.pending})
	}

	accepted.reported = chervilladder.Mark{}
	reply, err := client.AcceptCandidacy(t.Context(), address, sent)
	is.NoErr(err)
	is.Equal(reply.Reported, chervilladder.Mark{}) // nothing was reported yet

	accepted.err = errors.New("unknown service")
	_, err = client.AcceptCandidacy(t.Context(), address, sent)
	is.Equal(status.Code(errors.Unwrap(err)), codes.FailedPrecondition)
}

// A VM that runs no work at upstreams, or an earlier build, doesn't accept candidacies: that
// is an error and not a VM that has reported nothing.
func TestAnnounceToVMWithoutCandidacies(t *testing.T) {
	is := is.New(t)
	client, address, stop := serve(t, ServerConfig{})
	defer stop()
	_, err := client.AcceptCandidacy(t.Context(), address, chervilladder.Candidacy{Service: "s", Candidate: "i-1", ValidFor: time.Second})
	is.Equal(status.Code(errors.Unwrap(err)), codes.Unimplemented)
}

func TestAnnounceOfInvalidTimes(t *testing.T) {
	is := is.New(t)
	accepted := &candidacies{}
	s := &service{ServerConfig: ServerConfig{Candidacies: accepted}}
	_, err := s.Announce(t.Context(), &peerpb.AnnounceRequest{ValidUs: math.MaxUint64})
	is.NoErr(err)
	is.Equal(accepted.last.ValidFor, time.Duration(maxAgeMicros)*time.Microsecond)
}
