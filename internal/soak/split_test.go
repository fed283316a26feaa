package soak_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// During a failover the old primary has stepped down and no member is primary.
// A partition injected then has no primary to isolate and must not end the run.
func TestPartitionWithoutPrimary(t *testing.T) {
	is := is.New(t)
	k, err := cluster.New(cluster.Config{Service: service, Members: []chervilladder.Registered{{ID: memberID(0), Service: service}}})
	is.NoErr(err)
	conn, err := k.Connect(memberID(0), service, "", nil)
	is.NoErr(err)
	_, err = conn.Control(chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: 2})
	is.NoErr(err)
	conn.Close()
	primary, _ := k.Primary()
	is.Equal(primary, chervilladder.UpstreamID(""))

	w := &world{
		t: t, rng: rand.New(rand.NewPCG(1, 1)), cluster: k, vms: []*vm{{name: "vm-0"}, {name: "vm-1"}},
		memberProxies: map[chervilladder.UpstreamID]*faultProxy{memberID(0): startProxy(t, "127.0.0.1:9")},
	}
	w.partitionPrimary(time.Millisecond)
	w.pending.Wait()
}
