package peer

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func anyMessage(t *rapid.T) chervilladder.GossipMessage {
	id := rapid.StringMatching("[a-z0-9-]{1,20}")
	bodies := []chervilladder.GossipBody{
		chervilladder.Ping{Sequence: 1, Target: "a"},
		chervilladder.IndirectPing{Sequence: 2, Target: "b", Address: "10.0.0.1:1"},
		chervilladder.Ack{Sequence: 3},
		chervilladder.Sync{Digest: 4},
		chervilladder.MemberList{},
		chervilladder.Notice{},
	}
	m := chervilladder.GossipMessage{
		From:         chervilladder.VMID(id.Draw(t, "from")),
		Revision:     chervilladder.Revision(rapid.Uint64().Draw(t, "revision")),
		ConfirmedAge: rapid.SampledFrom([]time.Duration{-1, 0, 3 * time.Second}).Draw(t, "confirmed"),
		Body:         rapid.SampledFrom(bodies).Draw(t, "body"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "updates") {
		m.Updates = append(m.Updates, chervilladder.MemberUpdate{
			VM:          chervilladder.VM{ID: chervilladder.VMID(id.Draw(t, "vm")), Leaving: rapid.Bool().Draw(t, "leaving")},
			Health:      chervilladder.Health(rapid.IntRange(0, 2).Draw(t, "health")),
			Incarnation: chervilladder.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		})
	}
	return m
}

func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		key := Key(rapid.SampledFrom([]string{"", "secret"}).Draw(t, "key"))
		m := anyMessage(t)
		data, err := EncodeDatagram(key, m)
		is.NoErr(err)
		got, err := DecodeDatagram(key, data)
		is.NoErr(err)
		is.Equal(got, m)
	})
}

func TestForgedDatagramIsDropped(t *testing.T) {
	is := is.New(t)
	m := chervilladder.GossipMessage{From: "a", Body: chervilladder.Ack{Sequence: 1}}
	data, err := EncodeDatagram("secret", m)
	is.NoErr(err)
	for i := range data {
		forged := append([]byte(nil), data...)
		forged[i] ^= 1
		_, err := DecodeDatagram("secret", forged)
		is.True(errors.Is(err, errMAC))
	}
	_, err = DecodeDatagram("other", data)
	is.True(errors.Is(err, errMAC))
}

func FuzzDecodeDatagram(f *testing.F) {
	data, err := EncodeDatagram("", chervilladder.GossipMessage{From: "a", Body: chervilladder.Ping{Target: "b"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeDatagram("", data)
		if err == nil && m.Body == nil {
			t.Error("a message without a body was decoded")
		}
	})
}

func TestGossipOverUDP(t *testing.T) {
	is := is.New(t)
	dropped := make(chan error, 1)
	a, err := NewGossip(GossipConfig{Address: "127.0.0.1:0", Key: "secret"})
	is.NoErr(err)
	defer a.Close()
	b, err := NewGossip(GossipConfig{Address: "127.0.0.1:0", Key: "secret", Dropped: func(err error) { dropped <- err }})
	is.NoErr(err)
	defer b.Close()
	to := chervilladder.Address(b.conn.LocalAddr().String())
	_, err = a.conn.WriteTo([]byte("not signed by the key"), b.conn.LocalAddr())
	is.NoErr(err)
	is.NoErr(a.Send(to, chervilladder.GossipMessage{From: "a", Body: chervilladder.Ack{Sequence: 9}}))
	from, m, err := b.Receive(t.Context())
	is.NoErr(err)
	is.Equal(string(from), a.conn.LocalAddr().String())
	is.Equal(m.Body, chervilladder.Ack{Sequence: 9})
	var forged *DatagramError
	is.True(errors.As(<-dropped, &forged))
	is.Equal(b.Stats().Dropped, uint64(1))
}
