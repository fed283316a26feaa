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

// write inserts rows that carry the claim until the connection is ended. It
// returns how many were acknowledged.
func write(c *pgx.Conn, claim int64, worker int) int {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%d/%d/%d", claim, worker, n)
		if _, err := c.Exec(background, "INSERT INTO holds (id) VALUES ($1)", id); err != nil {
			return n
		}
	}
}

// Each claim is taken while connections that are bound to the one before write
// as fast as they can.
func TestNoCommitComesAfterAHigherClaim(t *testing.T) {
	is := is.New(t)
	s := settings()
	s.Connections = 100
	m := newMember(t, s)
	const claims, workers = 20, 4
	operator := m.conn()
	var acknowledged sync.Map
	var writers sync.WaitGroup
	for range claims {
		status, err := callGroup(operator, "group_claim('vm')")
		is.NoErr(err)
		for w := range workers {
			c := m.conn()
			_, err = callGroup(c, "group_bind($1)", status.Claim)
			is.NoErr(err)
			writers.Go(func() { acknowledged.Store(fmt.Sprintf("%d/%d", status.Claim, w), write(c, status.Claim, w)) })
		}
		exec(t, operator, "SELECT pg_sleep(0.01)")
	}
	_, err := callGroup(operator, "group_claim('vm')")
	is.NoErr(err)
	writers.Wait()

	var list []logged
	m.get("/log", &list)
	is.True(len(list) > claims)
	last, written := int64(0), map[string]int{}
	for i, e := range list {
		is.Equal(int(e.Position), i+1)
		name, _, _ := strings.Cut(e.Changes[0].ID, "/")
		claim, err := strconv.ParseInt(name, 10, 64)
		is.NoErr(err)
		is.True(claim >= last) // A commit under an older claim comes after one under a newer.
		last = claim
		written[e.Changes[0].ID[:strings.LastIndex(e.Changes[0].ID, "/")]]++
	}
	// What was acknowledged is in the log, and at most the one more that was
	// under way.
	acknowledged.Range(func(key, n any) bool {
		extra := written[key.(string)] - n.(int)
		is.True(extra == 0 || extra == 1)
		return true
	})
}
