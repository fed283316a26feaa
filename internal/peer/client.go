// Package peer holds the communication between VMs: calls by gRPC, gossip by UDP.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// maxFrameBytes bounds one message between peers.
const maxFrameBytes = 64 << 20

// The keep-alive of a connection between peers, which detects a lost one.
const (
	keepAliveEvery   = 10 * time.Second
	keepAliveTimeout = time.Second
)

// How a lost connection is opened again. A peer that was unreachable must be in use again
// soon after it is back, so attempts are short and the pauses between them bounded.
const (
	connectTimeout    = time.Second
	minReconnectPause = 50 * time.Millisecond
	maxReconnectPause = 500 * time.Millisecond
	// idleTimeout is after how long without a call a connection is closed.
	idleTimeout = 5 * time.Minute
)

// Client calls the other VMs. It keeps one connection to each peer that it has called.
type Client struct {
	board *blackboard.Board

	mu    sync.Mutex
	conns map[chervilladder.Address]*grpc.ClientConn
}

var (
	_ chervilladder.Relay    = (*Client)(nil)
	_ chervilladder.Releaser = (*Client)(nil)

	_ chervilladder.Connector = (*Client)(nil)
)

// NewClient returns a client that takes the addresses of peers from the blackboard.
func NewClient(b *blackboard.Board) *Client {
	return &Client{board: b, conns: make(map[chervilladder.Address]*grpc.ClientConn)}
}

// Close ends all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all error
	for a, conn := range c.conns {
		all = errors.Join(all, conn.Close())
		delete(c.conns, a)
	}
	return all
}

// Open opens an exchange at a peer.
func (c *Client) Open(ctx context.Context, vm chervilladder.VMID, w chervilladder.Work) (chervilladder.Exchange, error) {
	m, ok := c.board.Members.Load().Members[vm]
	if !ok {
		return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonNoOwner}
	}
	client, err := c.client(m.VM.Peer)
	if err != nil {
		return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonNoOwner, Err: err}
	}
	ctx, cancel := context.WithCancel(withCallingVM(ctx, c.board.Self.ID))
	stream, err := client.Run(ctx)
	if err == nil {
		err = stream.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Work{Work: encodeWork(w)}})
	}
	if err != nil {
		cancel()
		return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonNoOwner, Err: err}
	}
	return &exchange{database: w.Database, forwarded: answer.Forwarded{Reads: w.Access == chervilladder.AccessRead}, stream: stream, cancel: cancel}, nil
}

// Pull asks a peer for a configuration newer than a revision.
func (c *Client) Pull(ctx context.Context, peer chervilladder.Address, newerThan chervilladder.Revision) (chervilladder.Relayed, error) {
	client, err := c.client(peer)
	if err != nil {
		return chervilladder.Relayed{}, err
	}
	r, err := client.Pull(ctx, &peerpb.PullRequest{NewerThan: uint64(newerThan)})
	if err != nil {
		return chervilladder.Relayed{}, fmt.Errorf("peer %s: pull: %w", peer, err)
	}
	return chervilladder.Relayed{Encoded: r.GetBundle(), Delta: r.GetDelta()}, nil
}

// Follow receives what a peer knows from the platform's store. It calls receive with each
// update until the context ends or the peer is lost.
func (c *Client) Follow(ctx context.Context, peer chervilladder.Address, f chervilladder.Following, receive func(chervilladder.StoreUpdate)) error {
	client, err := c.client(peer)
	if err != nil {
		return err
	}
	stream, err := client.Follow(ctx, &peerpb.FollowRequest{
		Routing: uint64(f.Have.Routing.Revision), Upstreams: uint64(f.Have.Upstreams.Revision), BeatsOnly: f.HeartbeatsOnly,
		RoutingEra: uint64(f.Have.Routing.Era), UpstreamsEra: uint64(f.Have.Upstreams.Era), RoutingVersion: uint64(f.Have.Version),
	})
	for err == nil {
		var r *peerpb.FollowResponse
		if r, err = stream.Recv(); err == nil {
			receive(chervilladder.StoreUpdate{
				Age:     time.Duration(min(r.GetAgeUs(), maxAgeMicros)) * time.Microsecond,
				Has:     knownRevisions(r.GetHasRoutingEra(), r.GetHasRouting(), r.GetHasUpstreamsEra(), r.GetHasUpstreams(), r.GetHasRoutingVersion()),
				Routing: r.GetRouting(), Upstreams: r.GetUpstreams(),
			})
		}
	}
	return fmt.Errorf("peer %s: follow: %w", peer, err)
}

// knownRevisions returns what a message says of the revisions that a VM knows.
func knownRevisions(routingEra, routing, upstreamsEra, upstreams, version uint64) chervilladder.KnownRevisions {
	return chervilladder.KnownRevisions{
		Routing:   chervilladder.StoreRevision{Era: chervilladder.Era(routingEra), Revision: chervilladder.Revision(routing)},
		Upstreams: chervilladder.StoreRevision{Era: chervilladder.Era(upstreamsEra), Revision: chervilladder.Revision(upstreams)},
		Version:   chervilladder.ConfigVersion(version),
	}
}

// Demote has a peer demote a primary of an earlier term.
func (c *Client) Demote(ctx context.Context, peer chervilladder.Address, u chervilladder.UpstreamID, term chervilladder.Term) error {
	client, err := c.client(peer)
	if err != nil {
		return err
	}
	if _, err := client.Depose(ctx, &peerpb.DeposeRequest{Upstream: string(u), Term: uint64(term)}); err != nil {
		return fmt.Errorf("peer %s: demote %s: %w", peer, u, err)
	}
	return nil
}

// AcceptCandidacy tells a peer of a candidacy and returns its answer.
func (c *Client) AcceptCandidacy(ctx context.Context, peer chervilladder.Address, n chervilladder.Candidacy) (chervilladder.CandidacyReply, error) {
	client, err := c.client(peer)
	if err != nil {
		return chervilladder.CandidacyReply{}, err
	}
	r, err := client.Announce(ctx, encodeCandidacy(n))
	if err != nil {
		return chervilladder.CandidacyReply{}, fmt.Errorf("peer %s: candidacy of %s: %w", peer, n.Candidate, err)
	}
	reply := chervilladder.CandidacyReply{Reported: decodeMark(r.GetReported())}
	for _, p := range r.GetPending() {
		reply.Pending = append(reply.Pending, decodeCandidacy(p))
	}
	return reply, nil
}

// ReachablePrimary queries a peer for the primary of a service that the peer reaches.
func (c *Client) ReachablePrimary(ctx context.Context, peer chervilladder.Address, s chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	client, err := c.client(peer)
	if err != nil {
		return chervilladder.PrimaryTerm{}, err
	}
	r, err := client.Witness(ctx, &peerpb.WitnessRequest{Service: string(s)})
	if status.Code(err) == codes.FailedPrecondition {
		return chervilladder.PrimaryTerm{}, &chervilladder.PrimaryUnreachableError{Service: s}
	}
	if err != nil {
		return chervilladder.PrimaryTerm{}, fmt.Errorf("peer %s: reachable primary of %s: %w", peer, s, err)
	}
	return chervilladder.PrimaryTerm{Primary: chervilladder.UpstreamID(r.GetPrimary()), Term: chervilladder.Term(r.GetTerm())}, nil
}

// maxAgeMicros is the limit of an age on the wire, in microseconds.
const maxAgeMicros = uint64(365 * 24 * time.Hour / time.Microsecond)

// Release asks a VM to finish its work on a database that it no longer owns.
func (c *Client) Release(ctx context.Context, vm chervilladder.VMID, db chervilladder.DatabaseID) error {
	m, ok := c.board.Members.Load().Members[vm]
	if !ok {
		return fmt.Errorf("peer %s: release: not a member", vm)
	}
	client, err := c.client(m.VM.Peer)
	if err != nil {
		return err
	}
	if _, err := client.Release(ctx, &peerpb.ReleaseRequest{Database: string(db)}); err != nil {
		return fmt.Errorf("peer %s: release: %w", vm, err)
	}
	return nil
}

func (c *Client) client(a chervilladder.Address) (peerpb.PeerClient, error) {
	conn, err := c.conn(a)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// conn returns the connection to a peer. It is opened in the background.
func (c *Client) conn(a chervilladder.Address) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[a]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient(
		"passthrough:///"+string(a),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAliveEvery, Timeout: keepAliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectPause, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectPause},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFrameBytes), grpc.MaxCallSendMsgSize(maxFrameBytes)),
	)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", a, err)
	}
	c.conns[a] = conn
	return conn, nil
}

// exchange runs work at a peer.
type exchange struct {
	database chervilladder.DatabaseID
	// forwarded records what is known of the work at the peer: what was sent, and
	// whether the last answer left a transaction open.
	forwarded answer.Forwarded
	stream    grpc.BidiStreamingClient[peerpb.RunRequest, peerpb.RunResponse]
	cancel    context.CancelFunc
	sending   sync.Mutex // guards Send against Cancel
}

// Send sends a batch. If the peer has already ended the stream, Recv returns the
// reason.
func (x *exchange) Send(b chervilladder.Batch) error {
	x.forwarded.Sent, x.forwarded.Commits = true, b.Commits
	err := x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Batch{Batch: encodeBatch(b)}})
	if err != nil && !errors.Is(err, io.EOF) {
		return x.lost(err)
	}
	return nil
}

// Recv returns the next part of the answer.
func (x *exchange) Recv() (chervilladder.Reply, error) {
	m, err := x.stream.Recv()
	if err != nil {
		return chervilladder.Reply{}, x.lost(err)
	}
	if f := m.GetFailure(); f != nil {
		return chervilladder.Reply{}, decodeFailure(x.database, f)
	}
	r := decodeReply(m.GetReply())
	if r.Last {
		x.forwarded.Open = r.Open
	}
	return r, nil
}

// Cancel has the peer cancel the running statement.
func (x *exchange) Cancel() {
	_ = x.send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}})
}

// Close ends the exchange.
func (x *exchange) Close() {
	x.cancel()
}

func (x *exchange) send(m *peerpb.RunRequest) error {
	x.sending.Lock()
	defer x.sending.Unlock()
	return x.stream.Send(m)
}

// lost returns the error for work whose peer couldn't be reached or was lost.
func (x *exchange) lost(err error) error {
	return x.forwarded.Lost(x.database, err)
}
