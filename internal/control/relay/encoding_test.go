package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

func randomList(rng *rand.Rand) upstreams {
	u := make(upstreams)
	for range rng.IntN(20) {
		id := chervilladder.UpstreamID(fmt.Sprint("i-", rng.IntN(20)))
		u[id] = chervilladder.Registered{
			ID: id, Service: "s", Slots: 1 + rng.IntN(3), Draining: rng.IntN(2) == 0, Born: time.UnixMilli(int64(1 + rng.IntN(3))),
		}
	}
	return u
}

// A follower that applies all changes that a peer sends must have the peer's list.
func TestAppliedChangesYieldThePeersList(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 7))
	var sent, have upstreams
	for at := (chervilladder.StoreRevision{Revision: 1}); at.Revision < 200; at.Revision++ {
		to := randomList(rng)
		encoded, err := encode(diff(sent, to, at))
		is.NoErr(err)
		var reached listChange
		have, reached, err = have.apply(encoded)
		is.NoErr(err)
		is.Equal(reached.At, at)
		is.True(maps.Equal(have, to))
		sent = to
	}
	_, _, err := upstreams(nil).apply(mustEncode(t, listChange{At: chervilladder.StoreRevision{Revision: 9}}))
	is.Equal(err, errNoBase)
}

func mustEncode(t testing.TB, v any) []byte {
	t.Helper()
	b, err := encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("{"))
	f.Add(mustEncode(f, &chervilladder.Routing{Revision: chervilladder.StoreRevision{Revision: 3}}))
	f.Add(mustEncode(f, listChange{At: chervilladder.StoreRevision{Revision: 4}, Whole: true, Entries: []chervilladder.Registered{{ID: "i-1", Service: "s"}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRouting(b); err == nil && (r == nil || r.Revision.Revision == 0) {
			t.Error("a configuration without a revision was accepted")
		}
		before := upstreams{"i-0": {ID: "i-0"}}
		after, at, err := before.apply(b)
		if err != nil && (at.At.Revision != 0 || len(after) != 1) {
			t.Error("a malformed change has changed the list")
		}
	})
}

// A reader encodes each change of an upstream for each of its followers.
func BenchmarkEncodeChange(b *testing.B) {
	c := listChange{At: chervilladder.StoreRevision{Revision: 4}, Entries: []chervilladder.Registered{{ID: "i-1", Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Slots: 3}}}
	b.ReportAllocs()
	for b.Loop() {
		mustEncode(b, c)
	}
}

// Compressors are reused, so a part that could not be encoded or decoded must leave no
// trace in the next one.
func TestEncodingAfterAFailure(t *testing.T) {
	is := is.New(t)
	c := listChange{At: chervilladder.StoreRevision{Revision: 4}, Whole: true, Entries: []chervilladder.Registered{{ID: "i-1", Service: "s"}}}
	for range 3 {
		_, err := encode(map[string]any{"text": "x", "unencodable": func() {}})
		is.True(err != nil)
		var into listChange
		is.True(decode([]byte("\xff\xff"), &into) != nil)
		is.True(decode(mustEncode(t, c)[:5], &into) != nil)
		list, at, err := upstreams(nil).apply(mustEncode(t, c))
		is.NoErr(err)
		is.Equal(at.At, chervilladder.StoreRevision{Revision: 4})
		is.Equal(len(list), 1)
	}
}
