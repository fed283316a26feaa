package upstream

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// The SQLSTATEs with which a member refuses a claim or a ballot.
const (
	codeClaimLost   = "CG001"
	codeTermRefused = "CG002"
)

// Member sends control calls to one upstream, over a connection of its own. It is used by
// one goroutine at a time.
type Member struct {
	conn *Conn
	// columns are the columns of a status; nil until its statement is prepared.
	columns []string
}

// DialMember opens a control connection to an upstream.
func DialMember(ctx context.Context, u chervilladder.Upstream) (*Member, error) {
	c, err := dial(ctx, u, controlUser)
	if err != nil {
		return nil, err
	}
	return &Member{conn: c}, nil
}

var _ chervilladder.Member = (*Member)(nil)

// The statement that queries a status, and the name under which it is prepared.
const (
	statusStatement = "group-status"
	statusSQL       = "SELECT * FROM group_status()"
)

// Status queries the member's status. The first call prepares the statement, so that
// later answers don't describe their columns.
func (m *Member) Status(ctx context.Context) (chervilladder.MemberStatus, error) {
	out, err := m.statusMessages()
	if err != nil {
		return chervilladder.MemberStatus{}, err
	}
	r, err := m.conn.requestRow(ctx, out, m.columns)
	if err != nil {
		m.columns = nil
		return chervilladder.MemberStatus{}, m.conn.groupError(err)
	}
	m.columns = r.columns
	return m.conn.status(r), nil
}

// statusMessages encodes the status request, preceded by the messages that prepare its
// statement unless it is known to be prepared.
func (m *Member) statusMessages() ([]byte, error) {
	request := []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: statusStatement}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
	if m.columns == nil {
		request = append([]pgproto3.FrontendMessage{
			&pgproto3.Close{ObjectType: 'S', Name: statusStatement},
			&pgproto3.Parse{Name: statusStatement, Query: statusSQL},
			&pgproto3.Describe{ObjectType: 'S', Name: statusStatement},
		}, request...)
	}
	out := m.conn.appendMarker(m.conn.scratch[:0])
	for _, message := range request {
		var err error
		if out, err = message.Encode(out); err != nil {
			return nil, fmt.Errorf("encode the status request: %w", err)
		}
	}
	m.conn.scratch = out[:0]
	return out, nil
}

// TakeClaim takes ownership of the database at the primary.
func (m *Member) TakeClaim(ctx context.Context, vm chervilladder.VMID) (chervilladder.MemberStatus, error) {
	return m.conn.groupCall(ctx, fmt.Sprintf("group_claim(%s)", quote(string(vm))))
}

// AcceptTerm makes the member refuse every lower term.
func (m *Member) AcceptTerm(ctx context.Context, b chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.conn.groupCall(ctx, fmt.Sprintf("group_accept(%d, %s)", b.Term, quote(string(b.Attempt))))
}

// Promote makes the member the primary of a term that it accepted.
func (m *Member) Promote(ctx context.Context, b chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.conn.groupCall(ctx, fmt.Sprintf("group_promote(%d, %s)", b.Term, quote(string(b.Attempt))))
}

// Follow makes the member replicate from the primary of a term.
func (m *Member) Follow(ctx context.Context, b chervilladder.Ballot, primary chervilladder.UpstreamID) error {
	call := fmt.Sprintf("group_follow(%d, %s, %s)", b.Term, quote(string(b.Attempt)), quote(string(primary)))
	_, err := m.conn.groupCall(ctx, call)
	return err
}

// Close ends the connection.
func (m *Member) Close() {
	m.conn.Close()
}

// bind binds the connection to a claim: the primary closes it once another VM takes the
// claim.
func (c *Conn) bind(ctx context.Context, claim chervilladder.Claim) error {
	_, err := c.groupCall(ctx, fmt.Sprintf("group_bind(%d)", claim))
	if err == nil {
		c.claim = claim
	}
	return err
}

func (c *Conn) groupCall(ctx context.Context, call string) (chervilladder.MemberStatus, error) {
	r, err := c.queryRow(ctx, "SELECT * FROM "+call)
	if err != nil {
		return chervilladder.MemberStatus{}, c.groupError(err)
	}
	return c.status(r), nil
}

// status decodes a member's status. Its contact_ms is the time since a replica was last in
// contact with its primary, or a primary with any of its replicas.
func (c *Conn) status(r row) chervilladder.MemberStatus {
	return chervilladder.MemberStatus{
		Upstream:     c.upstream.ID,
		Role:         parseRole(r.text("role")),
		Term:         chervilladder.Term(r.number("term")),
		LogTerm:      chervilladder.Term(r.number("log_term")),
		Received:     chervilladder.Position(r.number("received")),
		Replayed:     chervilladder.Position(r.number("replayed")),
		SinceContact: time.Duration(r.number("contact_ms")) * time.Millisecond,
		Claim:        chervilladder.Claim(r.number("claim")),
		Holder:       chervilladder.VMID(r.text("holder")),
	}
}

func (c *Conn) groupError(err error) error {
	var s *ResponseError
	if !errors.As(err, &s) {
		return err
	}
	switch s.Code {
	case codeClaimLost:
		return &chervilladder.ClaimLostError{Upstream: c.upstream.ID, Claim: c.claim, Holder: chervilladder.VMID(s.Detail)}
	case codeTermRefused:
		term, _ := strconv.ParseUint(s.Detail, 10, 64)
		return &chervilladder.TermRefusedError{Upstream: c.upstream.ID, Term: chervilladder.Term(term)}
	default:
		return err
	}
}

func parseRole(name string) chervilladder.Role {
	switch name {
	case "primary":
		return chervilladder.RolePrimary
	case "replica":
		return chervilladder.RoleReplica
	default:
		return chervilladder.RoleUnknown
	}
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
