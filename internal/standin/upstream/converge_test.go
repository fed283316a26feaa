package upstream_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/control"
)

// faultRun applies faults and writes to three members in an order drawn from a
// seed.
type faultRun struct {
	t       *testing.T
	random  *rand.Rand
	members map[chervilladder.UpstreamID]*member
	conns   map[chervilladder.UpstreamID]*pgx.Conn
	term    int64
	writes  int
}

func (r *faultRun) pick() chervilladder.UpstreamID {
	return []chervilladder.UpstreamID{"a", "b", "c"}[r.random.IntN(3)]
}

// conn returns a connection to a member, and opens a new one after a restart.
func (r *faultRun) conn(name chervilladder.UpstreamID) *pgx.Conn {
	if c := r.conns[name]; c == nil || c.Ping(background) != nil {
		r.conns[name] = r.members[name].conn()
	}
	return r.conns[name]
}

func (r *faultRun) step() {
	switch name := r.pick(); r.random.IntN(10) {
	case 0:
		r.members[name].post("/partition?on=true")
	case 1:
		r.members[name].post("/partition?on=false")
	case 2:
		r.elect([]chervilladder.UpstreamID{name, r.pick()})
	case 3:
		r.members[name].restart()
	case 4:
		exec(r.t, r.conn(name), "SELECT pg_sleep(0.03)")
	default:
		r.writes++
		// A replica rejects the write.
		_, _ = r.conn(name).Exec(background, "INSERT INTO holds (id) VALUES ($1)", fmt.Sprint(r.writes))
	}
}

// elect promotes the member with the newest log among those given that accept
// the next term. It returns an empty name when none was promoted.
func (r *faultRun) elect(names []chervilladder.UpstreamID) chervilladder.UpstreamID {
	r.term++
	attempt := fmt.Sprint("attempt-", r.term)
	var accepted []groupStatus
	for _, name := range names {
		if s, err := callGroup(r.conn(name), "group_accept($1, $2)", r.term, attempt); err == nil {
			accepted = append(accepted, s)
		}
	}
	if len(accepted) == 0 {
		return ""
	}
	best := slices.MaxFunc(accepted, func(a, b groupStatus) int {
		return cmp.Or(cmp.Compare(a.LogTerm, b.LogTerm), cmp.Compare(a.Received, b.Received))
	})
	name := chervilladder.UpstreamID(best.Member)
	if _, err := callGroup(r.conn(name), "group_promote($1, $2)", r.term, attempt); err != nil {
		return ""
	}
	return name
}

// After any sequence of faults, all members have the same log once they can
// reach each other and have a primary.
func TestMembersConverge(t *testing.T) {
	const seeds, steps = 4, 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			r := &faultRun{
				t: t, random: rand.New(rand.NewPCG(seed, 0)), members: newGroup(t, settings()),
				conns: map[chervilladder.UpstreamID]*pgx.Conn{}, term: 1,
			}
			for range steps {
				r.step()
			}
			for _, m := range r.members {
				m.post("/partition?on=false")
			}
			primary := r.elect([]chervilladder.UpstreamID{"a", "b", "c"})
			is.True(primary != "")
			exec(t, r.conn(primary), "INSERT INTO holds (id) VALUES ('last')")
			want := r.members[primary].status()
			var wantLog, log []logEntry
			r.members[primary].get("/log", &wantLog)
			for _, m := range r.members {
				m.await("the primary's position", func(s control.Status) bool {
					return s.Primary == primary && s.Replayed == want.Replayed && s.LogTerm == want.LogTerm
				})
				m.get("/log", &log)
				is.True(reflect.DeepEqual(log, wantLog))
			}
		})
	}
}
