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

// drill drives three members through faults in an order drawn from a seed.
type drill struct {
	t       *testing.T
	random  *rand.Rand
	members map[chervilladder.UpstreamID]*member
	conns   map[chervilladder.UpstreamID]*pgx.Conn
	term    int64
	writes  int
}

func (d *drill) pick() chervilladder.UpstreamID {
	return []chervilladder.UpstreamID{"a", "b", "c"}[d.random.IntN(3)]
}

// conn returns a connection to a member, a new one when it was restarted.
func (d *drill) conn(name chervilladder.UpstreamID) *pgx.Conn {
	if c := d.conns[name]; c == nil || c.Ping(background) != nil {
		d.conns[name] = d.members[name].conn()
	}
	return d.conns[name]
}

func (d *drill) step() {
	switch name := d.pick(); d.random.IntN(10) {
	case 0:
		d.members[name].post("/partition?on=true")
	case 1:
		d.members[name].post("/partition?on=false")
	case 2:
		d.elect([]chervilladder.UpstreamID{name, d.pick()})
	case 3:
		d.members[name].restart()
	case 4:
		exec(d.t, d.conn(name), "SELECT pg_sleep(0.03)")
	default:
		d.writes++
		// A replica refuses it.
		_, _ = d.conn(name).Exec(background, "INSERT INTO holds (id) VALUES ($1)", fmt.Sprint(d.writes))
	}
}

// elect promotes the one of some members whose log has come furthest.
func (d *drill) elect(names []chervilladder.UpstreamID) chervilladder.UpstreamID {
	d.term++
	attempt := fmt.Sprint("attempt-", d.term)
	var accepted []groupStatus
	for _, name := range names {
		if s, err := callGroup(d.conn(name), "group_accept($1, $2)", d.term, attempt); err == nil {
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
	if _, err := callGroup(d.conn(name), "group_promote($1, $2)", d.term, attempt); err != nil {
		return ""
	}
	return name
}

// Whatever has happened, all members hold the same once they are in touch and
// have a primary.
func TestMembersConverge(t *testing.T) {
	const seeds, steps = 4, 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			d := &drill{
				t: t, random: rand.New(rand.NewPCG(seed, 0)), members: newGroup(t, settings()),
				conns: map[chervilladder.UpstreamID]*pgx.Conn{}, term: 1,
			}
			for range steps {
				d.step()
			}
			for _, m := range d.members {
				m.post("/partition?on=false")
			}
			primary := d.elect([]chervilladder.UpstreamID{"a", "b", "c"})
			is.True(primary != "")
			exec(t, d.conn(primary), "INSERT INTO holds (id) VALUES ('last')")
			want := d.members[primary].status()
			var wantLog, log []logged
			d.members[primary].get("/log", &wantLog)
			for _, m := range d.members {
				m.await("the primary's position", func(s control.Status) bool {
					return s.Primary == primary && s.Replayed == want.Replayed && s.LogTerm == want.LogTerm
				})
				m.get("/log", &log)
				is.True(reflect.DeepEqual(log, wantLog))
			}
		})
	}
}
