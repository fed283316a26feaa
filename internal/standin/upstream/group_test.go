package upstream_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/control"
)

// groupStatus is the row that the group's functions return.
type groupStatus struct {
	Member, Role                            string
	Term, Received, Replayed, ContactMillis int64
	Claim                                   int64
	Holder                                  string
	Slots, Connections, LogTerm             int64
}

// callGroup calls a function of the group.
func callGroup(c *pgx.Conn, call string, args ...any) (groupStatus, error) {
	rows, err := c.Query(background, "SELECT * FROM "+call, args...)
	if err != nil {
		return groupStatus{}, err
	}
	return pgx.CollectExactlyOneRow(rows, pgx.RowToStructByPos[groupStatus])
}

func TestPromotionContinuesTheLog(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, settings())
	a, b, c := m["a"].conn(), m["b"].conn(), m["c"].conn()
	exec(t, a, "INSERT INTO holds (id, room) VALUES ('h1', 'r1')")
	m["b"].await("replayed 1", func(s control.Status) bool { return s.Replayed == 1 })
	m["c"].await("replayed 1", func(s control.Status) bool { return s.Replayed == 1 })
	before := queryValue[string](t, a, "SELECT pg_current_xact_id()::text")

	m["a"].post("/partition?on=true")
	exec(t, a, "INSERT INTO holds (id) VALUES ('lost')")
	is.Equal(m["a"].status().Received, chervilladder.Position(2))

	for _, conn := range []*pgx.Conn{b, c} {
		s, err := callGroup(conn, "group_accept($1, $2)", 2, "x")
		is.NoErr(err)
		is.Equal([]int64{s.Term, s.Received, s.LogTerm}, []int64{2, 1, 1})
		is.Equal(s.Role, "replica")
		_, err = callGroup(conn, "group_accept(2, 'x')") // Repeating the same attempt succeeds.
		is.NoErr(err)
		_, err = callGroup(conn, "group_accept(2, 'y')")
		var pg *pgconn.PgError
		is.True(errors.As(err, &pg))
		is.Equal([]string{pg.Code, pg.Message, pg.Detail}, []string{"CG002", "term refused", "2"})
	}
	for range 2 { // Promotion is idempotent.
		s, err := callGroup(b, "group_promote(2, 'x')")
		is.NoErr(err)
		is.Equal([]any{s.Role, s.Term, s.LogTerm}, []any{"primary", int64(2), int64(2)})
	}
	_, err := callGroup(c, "group_follow(2, 'x', 'b')")
	is.NoErr(err)
	exec(t, b, "INSERT INTO holds (id) VALUES ('h2')")
	m["c"].await("replayed 2 of term 2", func(s control.Status) bool { return s.Replayed == 2 && s.LogTerm == 2 })
	is.Equal(queryValue[int64](t, c, "SELECT count(*) FROM holds"), int64(2))

	// The partitioned former primary still considers itself primary. It
	// takes over the new primary's content once it receives its heartbeat.
	is.Equal(m["a"].status().Role, "primary")
	m["a"].post("/partition?on=false")
	m["a"].await("follows b", func(s control.Status) bool { return s.Primary == "b" && s.Replayed == 2 && s.LogTerm == 2 })
	is.Equal(queryValue[int64](t, a, "SELECT count(*) FROM holds WHERE id = 'lost'"), int64(0))
	is.Equal(m["a"].countChanges("h2"), 1)

	after := queryValue[int64](t, b, "SELECT pg_current_xact_id()::text::int8")
	is.True(after > 1_000_000)
	is.Equal(queryValue[*string](t, b, "SELECT pg_xact_status($1::xid8)", before), nil)
}

func TestClaimsEndConnectionsBoundToLowerOnes(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, settings())
	owner, other, unbound := m["a"].conn(), m["a"].conn(), m["a"].conn()
	s, err := callGroup(owner, "group_claim($1)", "vm-1")
	is.NoErr(err)
	is.Equal([]any{s.Claim, s.Holder}, []any{int64(1<<20 + 1), "vm-1"})
	_, err = callGroup(owner, "group_bind($1)", s.Claim)
	is.NoErr(err)
	exec(t, owner, "BEGIN")
	exec(t, owner, "INSERT INTO holds (id) VALUES ('open')")

	// A higher claim ends the connection and so releases the row lock.
	_, err = callGroup(other, "group_claim('vm-2')")
	is.NoErr(err)
	exec(t, other, "INSERT INTO holds (id) VALUES ('open')")
	_, err = owner.Exec(background, "COMMIT")
	is.Equal(code(err), "57P01")
	_, err = callGroup(unbound, "group_bind($1)", s.Claim)
	var pg *pgconn.PgError
	is.True(errors.As(err, &pg))
	is.Equal([]string{pg.Code, pg.Message, pg.Detail}, []string{"CG001", "claim lost", "vm-2"})
	is.Equal(m["a"].countChanges("open"), 1)

	replica := m["b"].conn()
	_, err = callGroup(replica, "group_claim('vm-3')")
	is.Equal(code(err), "25006")
	m["b"].await("claim", func(s control.Status) bool { return s.Holder == "vm-2" })
	_, err = callGroup(replica, "group_bind($1)", s.Claim)
	is.Equal(code(err), "CG001")
}

func TestStepDownEndsOpenWrites(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, settings())
	writer, second := m["a"].conn(), m["a"].conn()
	exec(t, writer, "BEGIN")
	exec(t, writer, "INSERT INTO holds (id) VALUES ('h1')")
	xid := queryValue[string](t, writer, "SELECT pg_current_xact_id()::text")
	s, err := callGroup(second, "group_accept(2, 'x')")
	is.NoErr(err)
	is.Equal([]any{s.Role, s.Term}, []any{"replica", int64(2)})
	is.Equal(queryValue[string](t, second, "SELECT pg_xact_status($1)", xid), "aborted")
	_, err = writer.Exec(background, "COMMIT")
	is.Equal(code(err), "25006")

	// The other members receive the term and accept the same attempt.
	m["b"].await("term 2", func(s control.Status) bool { return s.Term == 2 })
	_, err = callGroup(m["b"].conn(), "group_accept(2, 'x')")
	is.NoErr(err)
	_, err = callGroup(second, "group_promote(2, 'x')")
	is.NoErr(err)
	exec(t, second, "INSERT INTO holds (id) VALUES ('h1')")
}

func TestRestartedPrimaryJoinsAsReplica(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, settings())
	exec(t, m["a"].conn(), "INSERT INTO holds (id) VALUES ('h1')")
	m["b"].await("replayed 1", func(s control.Status) bool { return s.Replayed == 1 })
	m["a"].restart()
	m["a"].await("term 1", func(s control.Status) bool { return s.Term == 1 })
	is.Equal(m["a"].status().Role, "replica")
	is.Equal(m["a"].status().Received, chervilladder.Position(0))

	b := m["b"].conn()
	_, err := callGroup(b, "group_accept(2, 'x')")
	is.NoErr(err)
	_, err = callGroup(b, "group_promote(2, 'x')")
	is.NoErr(err)
	m["a"].await("caught up", func(s control.Status) bool { return s.Primary == "b" && s.Replayed == 1 })
}

func TestLagDelaysReplayAndReceiving(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, settings())
	a, b := m["a"].conn(), m["b"].conn()
	m["b"].post("/lag?replay=1h")
	m["c"].post("/lag?receive=1h")
	exec(t, a, "INSERT INTO holds (id) VALUES ('h1')")
	m["b"].await("received 1", func(s control.Status) bool { return s.Received == 1 && s.Replayed == 0 })
	is.Equal(queryValue[int64](t, b, "SELECT count(*) FROM holds"), int64(0))
	is.Equal(m["c"].status().Received, chervilladder.Position(0))
	m["b"].post("/lag?replay=0s")
	m["b"].await("replayed 1", func(s control.Status) bool { return s.Replayed == 1 })
	m["c"].post("/lag")
	m["c"].await("replayed 1", func(s control.Status) bool { return s.Replayed == 1 })
}

// Log entries in flight from the primary of a lower term are discarded once a
// higher term is accepted.
func TestEntriesOfLowerTermsAreDiscardedAfterAccept(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, settings())
	c := m["c"].conn()
	m["c"].post("/lag?receive=1h")
	exec(t, m["a"].conn(), "INSERT INTO holds (id) VALUES ('h1')")
	m["b"].await("received 1", func(s control.Status) bool { return s.Received == 1 })
	_, err := callGroup(c, "group_accept(2, 'x')")
	is.NoErr(err)
	m["c"].post("/lag")
	exec(t, c, "SELECT pg_sleep(0.1)")
	is.Equal(m["c"].status().Received, chervilladder.Position(0))
}

func TestContactTimeGrowsDuringAPartition(t *testing.T) {
	m := newGroup(t, settings())
	m["a"].post("/partition?on=true")
	const thresholdMillis = 300
	m["b"].await("no contact", func(s control.Status) bool { return s.ContactMillis > thresholdMillis })
	m["a"].await("no contact", func(s control.Status) bool { return s.ContactMillis > thresholdMillis })
	m["a"].post("/partition?on=false")
	m["b"].await("contact", func(s control.Status) bool { return s.ContactMillis >= 0 && s.ContactMillis < thresholdMillis })
	m["a"].await("contact", func(s control.Status) bool { return s.ContactMillis >= 0 && s.ContactMillis < thresholdMillis })
}

func TestFrozenAndIsolatedMembersAnswerLater(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	for _, fault := range []string{"freeze", "isolate"} {
		c := m.conn()
		m.post("/" + fault + "?on=true")
		ctx, cancel := context.WithTimeout(background, 100*time.Millisecond)
		answered := make(chan error, 1)
		go func() { answered <- c.Ping(background) }()
		_, err := pgx.Connect(ctx, "postgres://clerk@"+m.listeners.Callers.Addr().String()+"/agenda")
		cancel()
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(len(answered), 0)
		m.post("/" + fault + "?on=false")
		is.NoErr(<-answered)
	}
}

func TestSilencedConnectionsStaySilent(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	old := m.conn()
	m.post("/silence")
	ctx, cancel := context.WithTimeout(background, 100*time.Millisecond)
	defer cancel()
	_, err := old.Exec(ctx, "INSERT INTO holds (id) VALUES ('h1')")
	is.True(errors.Is(err, context.DeadlineExceeded))
	exec(t, m.conn(), "INSERT INTO holds (id) VALUES ('h2')")
	is.Equal(m.countChanges("h1"), 0)
}

func TestAnswersToCommitsAreLostOrLate(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	c := m.conn()
	m.post("/drop-answer")
	_, err := c.Exec(background, "INSERT INTO holds (id) VALUES ('h1')")
	is.True(err != nil)
	is.Equal(m.countChanges("h1"), 1)

	c = m.conn()
	m.post("/pause-before-answer?value=1h")
	answered := make(chan error, 1)
	ctx, cancel := context.WithCancel(background)
	go func() {
		_, err := c.Exec(ctx, "INSERT INTO holds (id) VALUES ('h2')")
		answered <- err
	}()
	m.await("received 2", func(s control.Status) bool { return s.Received == 2 })
	is.Equal(len(answered), 0)
	cancel()
	is.True(<-answered != nil)
}
