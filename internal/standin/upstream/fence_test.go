package upstream_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// write inserts rows with the claim in their ids until the member closes the
// connection. It returns how many inserts were acknowledged.
func write(c *pgx.Conn, claim int64, worker int) int {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%d/%d/%d", claim, worker, n)
		if _, err := c.Exec(background, "INSERT INTO holds (id) VALUES ($1)", id); err != nil {
			return n
		}
	}
}

// TestNoCommitUnderALowerClaim takes each claim while connections bound to the
// previous one write as fast as they can. It guards against a commit under an
// old claim that lands in the log after one under a newer claim.
func TestNoCommitUnderALowerClaim(t *testing.T) {
	is := is.New(t)
	s := settings()
	s.Connections = 100
	m := newMember(t, s)
	const claims, workers = 20, 4
	claimer := m.conn()
	var acknowledged sync.Map
	var writers sync.WaitGroup
	for range claims {
		status, err := callGroup(claimer, "group_claim('vm')")
		is.NoErr(err)
		for w := range workers {
			c := m.conn()
			_, err = callGroup(c, "group_bind($1)", status.Claim)
			is.NoErr(err)
			writers.Go(func() { acknowledged.Store(fmt.Sprintf("%d/%d", status.Claim, w), write(c, status.Claim, w)) })
		}
		exec(t, claimer, "SELECT pg_sleep(0.01)")
	}
	_, err := callGroup(claimer, "group_claim('vm')")
	is.NoErr(err)
	writers.Wait()

	var list []logEntry
	m.get("/log", &list)
	is.True(len(list) > claims)
	last, written := int64(0), map[string]int{}
	for i, e := range list {
		is.Equal(int(e.Position), i+1)
		name, _, _ := strings.Cut(e.Changes[0].ID, "/")
		claim, err := strconv.ParseInt(name, 10, 64)
		is.NoErr(err)
		is.True(claim >= last) // Otherwise a commit under an older claim follows one under a newer.
		last = claim
		written[e.Changes[0].ID[:strings.LastIndex(e.Changes[0].ID, "/")]]++
	}
	// Every acknowledged insert is in the log, and per writer at most one
	// more, which was in flight when the connection ended.
	acknowledged.Range(func(key, n any) bool {
		extra := written[key.(string)] - n.(int)
		is.True(extra == 0 || extra == 1)
		return true
	})
}
