package cluster_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// An order takes effect late and once more, also after another member has been promoted, but
// not for a member that has been removed.
func TestSetPromoteTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, err := cluster.New(cluster.Config{
			Service: "s", PromoteTime: 400 * time.Millisecond,
			Members: []chervilladder.Registered{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}},
		})
		is.NoErr(err)
		k.SetPromoteTimes(func(chervilladder.UpstreamID) []time.Duration {
			return []time.Duration{2400 * time.Millisecond, 3400 * time.Millisecond}
		})
		is.NoErr(k.Promote("vm", 1, "b"))
		is.NoErr(k.Promote("vm", 1, "c"))
		k.Remove("c")
		k.SetPromoteTimes(nil)
		time.Sleep(2390 * time.Millisecond)
		is.Equal(len(k.Effects()), 0)
		time.Sleep(20 * time.Millisecond)
		is.Equal(leader(k), chervilladder.UpstreamID("b"))
		is.NoErr(k.Promote("vm", 1, "a"))
		time.Sleep(500 * time.Millisecond)
		is.Equal(leader(k), chervilladder.UpstreamID("a"))
		time.Sleep(time.Second)
		is.Equal(leader(k), chervilladder.UpstreamID("b")) // once more
		is.Equal(len(k.Effects()), 3)
	})
}

func leader(k *cluster.Cluster) chervilladder.UpstreamID {
	id, _ := k.Primary()
	return id
}
