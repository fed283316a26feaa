// Package group implements a member's part in its database group: ballots for
// terms, claims of VMs, and replication from the primary to the replicas.
package group

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// claimTermShift is the number of low bits of a claim that count the claims
// within a term. The bits above them hold the term.
const claimTermShift = 20

// Config configures a Keeper.
type Config struct {
	Name  chervilladder.UpstreamID
	Peers Addresses
	// Initial makes the member the primary of term 1 if the group has no
	// term yet.
	Initial bool
	Board   *state.Board
	DB      *engine.DB
	Log     logrus.FieldLogger
}

// Keeper is the only writer of the member's role, term and claim, which
// state.MemberState holds.
type Keeper struct {
	name     chervilladder.UpstreamID
	peers    Addresses
	initial  bool
	board    *state.Board
	db       *engine.DB
	log      logrus.FieldLogger
	sessions standin.Sessions
	termless *termlessPeers
}

// New returns the keeper of a replica that follows no primary yet.
func New(c Config) (*Keeper, error) {
	if c.Name == "" || c.Board == nil || c.DB == nil || c.Log == nil {
		return nil, errors.New("group: Name, Board, DB and Log are required")
	}
	peers := maps.Clone(c.Peers)
	delete(peers, c.Name)
	return &Keeper{
		name: c.Name, peers: peers, initial: c.Initial,
		board: c.Board, db: c.DB, log: c.Log, termless: newTermlessPeers(peers),
	}, nil
}

// SetSessions sets the callers' sessions. It must be called before any other
// method.
func (k *Keeper) SetSessions(s standin.Sessions) { k.sessions = s }

// Status is the status that a member reports.
type Status struct {
	Member   chervilladder.UpstreamID
	Role     chervilladder.Role
	Term     chervilladder.Term
	Received chervilladder.Position
	Replayed chervilladder.Position
	// Contact is the time since the last message from the primary, or on
	// the primary since the last heartbeat of any replica. It is negative
	// when there was none.
	Contact time.Duration
	Claim   chervilladder.Claim
	Holder  chervilladder.VMID
	Slots   int
	// Connections is the number of open connections of callers.
	Connections int
	// LogTerm is the newest term for which the log holds all entries of
	// earlier terms.
	LogTerm chervilladder.Term
}

// Status returns the member's present status.
func (k *Keeper) Status() Status {
	member := k.board.Member.Load()
	progress := k.db.Progress()
	s := Status{
		Member: k.name, Role: member.Role, Term: member.Term,
		Received: progress.Reached.Position, Replayed: progress.Replayed, LogTerm: progress.Reached.Term,
		Contact: -1, Claim: member.Claim, Holder: member.Holder,
		Slots: k.board.Settings.Load().Slots, Connections: k.sessions.Open(),
	}
	if contact, ok := k.board.Contact(); ok {
		s.Contact = contact
	}
	return s
}

// Claim grants the next claim to a VM and ends the connections bound to lower
// claims.
func (k *Keeper) Claim(vm chervilladder.VMID) (Status, error) {
	if vm == "" {
		return Status{}, pgerror.New(pgerror.InvalidParameter, "group_claim requires the name of a VM")
	}
	s, err := k.board.Member.TryUpdate(func(s *state.MemberState) error {
		if s.Role != chervilladder.RolePrimary {
			return pgerror.New(pgerror.ReadOnly, "group_claim: member is not primary")
		}
		s.Claim = max(s.Claim, chervilladder.Claim(s.Term)<<claimTermShift) + 1
		s.Holder = vm
		return nil
	})
	if err != nil {
		return Status{}, err
	}
	k.log.Infof("group: Claim %d granted to %s.", s.Claim, vm)
	k.sessions.EndBelow(s.Claim, s.Holder)
	return k.Status(), nil
}

// CheckClaim returns an error when a claim is not the highest. A replica also
// accepts a claim above the highest that it knows, because the primary's newer
// claim may not have reached it yet.
func (k *Keeper) CheckClaim(claim chervilladder.Claim) error {
	return checkClaim(k.board.Member.Load(), claim)
}

func checkClaim(s state.MemberState, claim chervilladder.Claim) error {
	if claim == s.Claim || claim > s.Claim && s.Role == chervilladder.RoleReplica {
		return nil
	}
	e := pgerror.New(pgerror.ClaimLost, "claim lost")
	e.Detail = string(s.Holder)
	return e
}

// Commit calls commit if the member is primary and the claim to which the
// connection is bound is still the highest. Claim 0 stands for an unbound
// connection.
func (k *Keeper) Commit(claim chervilladder.Claim, commit func(chervilladder.Term) error) error {
	return k.board.Member.Hold(func(s state.MemberState) error {
		if s.Role != chervilladder.RolePrimary {
			return pgerror.New(pgerror.ReadOnly, "member is not primary; transaction rolled back")
		}
		if claim != 0 && claim < s.Claim {
			return ClaimEnded(s.Claim, s.Holder)
		}
		return commit(s.Term)
	})
}

// ClaimEnded returns the error that connections bound to lower claims get when
// they are ended.
func ClaimEnded(claim chervilladder.Claim, holder chervilladder.VMID) *pgerror.Error {
	e := pgerror.New(pgerror.AdminShutdown, "connection ended: claim %d was granted to %s", claim, holder)
	e.Detail = string(holder)
	e.Fatal = true
	return e
}

// Accept makes the member a replica in the ballot's term, and reject all lower
// terms. Repeating a ballot changes nothing.
func (k *Keeper) Accept(b chervilladder.Ballot) (Status, error) {
	if err := k.changeMember(func(s *state.MemberState) error { return accept(s, b) }); err != nil {
		return Status{}, err
	}
	return k.Status(), nil
}

// accept takes over a ballot's term, or returns an error with the present term
// when the ballot is refused.
func accept(s *state.MemberState, b chervilladder.Ballot) error {
	if b.Attempt == "" || b.Term == 0 {
		return pgerror.New(pgerror.InvalidParameter, "a ballot requires a term above 0 and the id of the attempt")
	}
	if b.Term == s.Term && b.Attempt == s.Attempt {
		return nil
	}
	if b.Term <= s.Term {
		return termRefused(s.Term)
	}
	s.Role = chervilladder.RoleReplica
	s.Term, s.Attempt, s.Primary = b.Term, b.Attempt, ""
	return nil
}

func termRefused(t chervilladder.Term) error {
	e := pgerror.New(pgerror.TermRefused, "term refused")
	e.Detail = strconv.FormatUint(uint64(t), 10)
	return e
}

// Promote makes the member the primary of a term that it has accepted. It is
// idempotent.
func (k *Keeper) Promote(b chervilladder.Ballot) (Status, error) {
	err := k.changeMember(func(s *state.MemberState) error {
		if b.Term != s.Term || b.Attempt != s.Attempt {
			return termRefused(s.Term)
		}
		if s.Role == chervilladder.RolePrimary {
			return nil
		}
		if s.Primary != "" {
			return pgerror.New(pgerror.InvalidParameter, "term %d has a primary: %s", s.Term, s.Primary)
		}
		k.db.Promote(s.Term)
		s.Role, s.Primary = chervilladder.RolePrimary, k.name
		s.Start = k.db.Log().Last().Position
		return nil
	})
	if err != nil {
		return Status{}, err
	}
	return k.Status(), nil
}

// Follow accepts the ballot's term unless it has done so, and replicates from
// that term's primary.
func (k *Keeper) Follow(b chervilladder.Ballot, primary chervilladder.UpstreamID) (Status, error) {
	if _, ok := k.peers[primary]; !ok {
		return Status{}, pgerror.New(pgerror.InvalidParameter, "group_follow: %q is not another member of the group", primary)
	}
	err := k.changeMember(func(s *state.MemberState) error {
		if err := accept(s, b); err != nil {
			return err
		}
		if s.Role == chervilladder.RolePrimary {
			return pgerror.New(pgerror.InvalidParameter, "group_follow: member is primary of term %d", s.Term)
		}
		s.Primary = primary
		return nil
	})
	if err != nil {
		return Status{}, err
	}
	return k.Status(), nil
}

// changeMember changes the member's role, term, primary or claim. On demotion
// it ends the open transactions that have an id.
func (k *Keeper) changeMember(change func(*state.MemberState) error) error {
	var before state.MemberState
	after, err := k.board.Member.TryUpdate(func(s *state.MemberState) error {
		before = *s
		return change(s)
	})
	if err != nil {
		return err
	}
	if after.Role != before.Role || after.Term != before.Term || after.Primary != before.Primary {
		k.log.Infof("group: Role, term or primary changed. role=%s term=%d primary=%s", after.Role, after.Term, after.Primary)
	}
	if before.Role == chervilladder.RolePrimary && after.Role != chervilladder.RolePrimary {
		k.db.StepDown()
	}
	return nil
}

// applyHeartbeat updates the member's term, primary and claim from a peer's
// heartbeat.
func (k *Keeper) applyHeartbeat(h heartbeat) {
	if !changesMember(k.board.Member.Load(), h) {
		return
	}
	// The change can't fail: mergeHeartbeat only takes over newer values.
	_ = k.changeMember(func(s *state.MemberState) error {
		mergeHeartbeat(s, h)
		return nil
	})
}

// changesMember reports whether a heartbeat would change the member's state.
func changesMember(s state.MemberState, h heartbeat) bool {
	before := s
	mergeHeartbeat(&s, h)
	return s != before
}

// mergeHeartbeat takes over a newer term, the primary of the present term, and
// the primary's claim if it is higher.
func mergeHeartbeat(s *state.MemberState, h heartbeat) {
	if h.Term < s.Term {
		return
	}
	primary := h.Role == chervilladder.RolePrimary
	if h.Term > s.Term {
		s.Role = chervilladder.RoleReplica
		s.Term, s.Attempt, s.Primary = h.Term, h.Attempt, ""
	}
	if !primary || s.Role == chervilladder.RolePrimary {
		return
	}
	s.Primary, s.Attempt = h.Member, h.Attempt
	if h.Claim > s.Claim {
		s.Claim, s.Holder = h.Claim, h.Holder
	}
}

// Bootstrap makes the initial member the primary of term 1 once it knows that
// no other member has been in a term. It returns when this is decided, or when
// the member is in a term already.
func (k *Keeper) Bootstrap(ctx context.Context) error {
	if !k.initial {
		return nil
	}
	for {
		s, changed := k.board.Member.Watch()
		if s.Term > 0 {
			return nil
		}
		none, updated := k.termless.all()
		if none {
			break
		}
		select {
		case <-changed:
		case <-updated:
		case <-ctx.Done():
			return nil
		}
	}
	return k.changeMember(func(s *state.MemberState) error {
		if s.Term == 0 {
			s.Role, s.Term, s.Primary = chervilladder.RolePrimary, 1, k.name
			k.db.Log().MarkComplete(1)
		}
		return nil
	})
}
