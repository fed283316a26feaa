package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Board *blackboard.Board
	// Executor runs work that peers forward; nil rejects it.
	Executor chervilladder.Executor
	// Feed sends peers what this VM knows from the platform's store; nil rejects
	// the call.
	Feed chervilladder.Feed
	// Demoter demotes primaries of earlier terms; nil rejects the call.
	Demoter chervilladder.Demoter
	// Candidacies is told of replicas that may become primaries; nil rejects the call.
	Candidacies chervilladder.CandidacyAcceptor
	// Reachability reports which primaries this VM reaches; nil rejects the call.
	Reachability chervilladder.Reachability
	// QuotaLender lends parts of quotas; nil rejects the call.
	QuotaLender chervilladder.QuotaLender
	// Canceller cancels the statements of sessions at this VM when peers request it;
	// may be nil.
	Canceller chervilladder.Canceller
	Listener  net.Listener
	Log       *logrus.Logger
	// IdleTimeout bounds how long an exchange waits for the next batch of an open
	// transaction; zero means 12 s.
	IdleTimeout time.Duration
}

// defaultIdleTimeout is longer than a VM lets its own callers' transactions be idle, so
// it ends only exchanges whose VM doesn't end them itself.
const defaultIdleTimeout = 12 * time.Second

// deadIdleTimeout is the timeout for a VM that is listed as dead. It may only have been
// silent, so its transactions aren't ended at once.
const deadIdleTimeout = 2 * time.Second

// handshakeTimeout bounds the handshake of a peer's connection.
const handshakeTimeout = 5 * time.Second

// part names this package in reports of panics.
const part recovery.Part = "peer"

// Server answers the calls of the other VMs.
type Server struct {
	config ServerConfig
	grpc   *grpc.Server
	// stopFollow ends all calls of Follow.
	stopFollow context.CancelFunc
}

// service holds the methods that peers call.
type service struct {
	peerpb.UnimplementedPeerServer
	ServerConfig
	// followContext is the context of all calls of Follow; it ends when the server
	// stops.
	followContext context.Context
}

// NewServer returns a server; it serves once Run is called.
func NewServer(c ServerConfig) *Server {
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	followContext, stopFollow := context.WithCancel(context.Background())
	s := &Server{config: c, stopFollow: stopFollow}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxFrameBytes),
		grpc.MaxSendMsgSize(maxFrameBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.UnaryInterceptor(s.recoverUnary),
		grpc.StreamInterceptor(s.recoverStream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepAliveEvery / 2, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s.grpc, &service{ServerConfig: c, followContext: followContext})
	return s
}

// errPanic is what a peer gets for a call that panicked. Work that it forwarded may have
// been run.
var errPanic = status.Error(codes.Internal, "the call failed by a fault of the program")

// recoverUnary limits a panic to the call.
func (s *Server) recoverUnary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (response any, err error) {
	if recovery.Call(s.config.Log, part, func() { response, err = handle(ctx, request) }) != nil {
		return nil, errPanic
	}
	return response, err
}

// recoverStream limits a panic to the stream.
func (s *Server) recoverStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	if recovery.Call(s.config.Log, part, func() { err = handle(server, stream) }) != nil {
		return errPanic
	}
	return err
}

// stopTimeout bounds the wait for unfinished calls when the server stops.
const stopTimeout = 2 * time.Second

// Run serves until the context ends. It then ends the calls of Follow at once, and lets
// other running calls finish for up to stopTimeout.
func (s *Server) Run(ctx context.Context) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.stop()
	})
	defer func() {
		if !stop() {
			<-stopped
		}
	}()
	if err := s.grpc.Serve(s.config.Listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

func (s *Server) stop() {
	s.stopFollow()
	forced := time.AfterFunc(stopTimeout, s.grpc.Stop)
	defer forced.Stop()
	s.grpc.GracefulStop()
}

// Pull returns the current configuration if it is newer than the requested revision.
func (s *service) Pull(_ context.Context, r *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	p := s.Board.Published.Load()
	relayed := p.For(chervilladder.Revision(r.GetNewerThan()))
	return &peerpb.PullResponse{Revision: uint64(p.Revision), Bundle: relayed.Encoded, Delta: relayed.Delta}, nil
}

// Follow sends a peer what this VM knows from the platform's store.
func (s *service) Follow(r *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowResponse]) error {
	if s.Feed == nil {
		return status.Error(codes.Unimplemented, "this VM reads no store for peers")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(s.followContext, cancel)()
	f := chervilladder.Following{
		Have:           knownRevisions(r.GetRoutingEra(), r.GetRouting(), r.GetUpstreamsEra(), r.GetUpstreams(), r.GetRoutingVersion()),
		HeartbeatsOnly: r.GetBeatsOnly(),
	}
	return s.Feed.SendUpdates(ctx, f, func(update chervilladder.StoreUpdate) error {
		age := min(uint64(max(0, update.Age.Microseconds())), maxAgeMicros)
		return stream.Send(&peerpb.FollowResponse{
			AgeUs: age, Routing: update.Routing, Upstreams: update.Upstreams,
			HasRouting: uint64(update.Has.Routing.Revision), HasUpstreams: uint64(update.Has.Upstreams.Revision),
			HasRoutingEra: uint64(update.Has.Routing.Era), HasUpstreamsEra: uint64(update.Has.Upstreams.Era), HasRoutingVersion: uint64(update.Has.Version),
		})
	})
}

// Depose demotes a primary of an earlier term.
func (s *service) Depose(ctx context.Context, r *peerpb.DeposeRequest) (*peerpb.DeposeResponse, error) {
	if s.Demoter == nil {
		return nil, status.Error(codes.Unimplemented, "this VM gives no orders to upstreams")
	}
	if err := s.Demoter.Demote(ctx, chervilladder.UpstreamID(r.GetUpstream()), chervilladder.Term(r.GetTerm())); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.DeposeResponse{}, nil
}

// Announce tells of a replica that may become the primary of a service.
func (s *service) Announce(ctx context.Context, r *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	if s.Candidacies == nil {
		return nil, status.Error(codes.Unimplemented, "this VM runs no work at upstreams")
	}
	reply, err := s.Candidacies.AcceptCandidacy(ctx, decodeCandidacy(r))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	out := &peerpb.AnnounceResponse{Reported: encodeMark(reply.Reported)}
	for _, c := range reply.Pending {
		out.Pending = append(out.Pending, encodeCandidacy(c))
	}
	return out, nil
}

// Witness returns the primary of a service that this VM reaches.
func (s *service) Witness(ctx context.Context, r *peerpb.WitnessRequest) (*peerpb.WitnessResponse, error) {
	if s.Reachability == nil {
		return nil, status.Error(codes.Unimplemented, "this VM asks no upstreams")
	}
	primary, err := s.Reachability.ReachablePrimary(ctx, chervilladder.ServiceID(r.GetService()))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.WitnessResponse{Primary: string(primary.Primary), Term: uint64(primary.Term)}, nil
}

// Run serves one exchange.
func (s *service) Run(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunResponse]) error {
	if s.Executor == nil {
		return status.Error(codes.Unimplemented, "this VM runs no work of peers")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetWork() == nil {
		return status.Error(codes.InvalidArgument, "the first request must hold the work")
	}
	x, err := s.Executor.Open(stream.Context(), decodeWork(first.GetWork()))
	if err != nil {
		return stream.Send(encodeFailure(err))
	}
	defer x.Close()
	batches := make(chan chervilladder.Batch)
	go func() {
		defer close(batches)
		_ = recovery.Call(s.Log, part, func() { s.receive(stream, x, batches) }) // then no batches follow
	}()
	from := callingVM(stream.Context())
	for {
		b, err := s.nextBatch(from, batches)
		if err != nil {
			return streamError(err)
		}
		if err := reply(stream, x, b); err != nil {
			return streamError(err)
		}
	}
}

// errIdle ends an exchange whose VM sent no further batch. Its transaction is rolled back.
var errIdle = status.Error(codes.Aborted, "the exchange was idle for too long, or its VM is listed as dead; its transaction is rolled back")

// nextBatch waits for the next batch. It returns io.EOF when the peer has ended the
// stream, and errIdle after IdleTimeout, or after deadIdleTimeout while the peer is listed
// as dead: the exchange holds a slot, which a VM that is suspended in a transaction would
// keep from all others.
func (s *service) nextBatch(from chervilladder.VMID, batches <-chan chervilladder.Batch) (chervilladder.Batch, error) {
	began := time.Now()
	idle := time.NewTimer(s.IdleTimeout)
	defer idle.Stop()
	for {
		members, changed := s.Board.Members.Watch()
		if members.Members[from].State == blackboard.MemberDead {
			idle.Reset(min(s.IdleTimeout, deadIdleTimeout) - time.Since(began))
		} else {
			idle.Reset(s.IdleTimeout - time.Since(began))
		}
		select {
		case b, ok := <-batches:
			if !ok {
				return b, io.EOF
			}
			return b, nil
		case <-changed:
		case <-idle.C:
			return chervilladder.Batch{}, errIdle
		}
	}
}

// receive forwards the peer's batches until the stream ends. A cancel request doesn't
// wait for the batches before it.
func (s *service) receive(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunResponse], x chervilladder.Exchange, batches chan<- chervilladder.Batch) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if m.GetCancel() {
			go func() { _ = recovery.Call(s.Log, part, x.Cancel) }() // the statement then runs to its end
			continue
		}
		select {
		case batches <- decodeBatch(m.GetBatch()):
		case <-stream.Context().Done():
			return
		}
	}
}

// reply runs one batch and sends the complete answer. It returns io.EOF once the exchange
// has ended.
func reply(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunResponse], x chervilladder.Exchange, b chervilladder.Batch) error {
	if err := x.Send(b); err != nil {
		return errors.Join(io.EOF, stream.Send(encodeFailure(err)))
	}
	for {
		r, err := x.Recv()
		if err != nil {
			return errors.Join(io.EOF, stream.Send(encodeFailure(err)))
		}
		if err := stream.Send(encodeReply(r)); err != nil {
			return err
		}
		if r.Last && !r.Open {
			return io.EOF
		}
		if r.Last {
			return nil
		}
	}
}

// streamError returns the error that ends the stream; none after io.EOF.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
