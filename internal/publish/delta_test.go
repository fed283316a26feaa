package publish_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/platformtest"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// bundle publishes a change and returns the configuration in force after it.
func bundle(t *testing.T, store *platformtest.Store, change publish.Change) publish.Bundle {
	t.Helper()
	is := is.New(t)
	_, err := newPublisher(t, store, "ana").Publish(t.Context(), change)
	is.NoErr(err)
	b, err := publish.Refresh(t.Context(), store, publish.Bundle{})
	is.NoErr(err)
	return b
}

func TestDelta(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	var files []servicefile.File
	for n := range 300 {
		files = append(files, file(t, fmt.Sprintf("service-%d", n), n+1, 1))
	}
	first := bundle(t, store, change(files...))
	second := bundle(t, store, publish.Change{
		Files:  []servicefile.File{file(t, "service-7", 8, 2), file(t, "added", 900, 1)},
		Remove: []chervilladder.ServiceID{"service-9"},
	})
	data, err := second.DeltaSince(first).Encode()
	is.NoErr(err)
	whole, err := second.Encode()
	is.NoErr(err)
	t.Logf("delta: %d bytes, whole: %d bytes", len(data), len(whole))
	is.True(len(data) < 4096)
	d, err := publish.DecodeDelta(data)
	is.NoErr(err)
	got, err := first.Apply(d)
	is.NoErr(err)
	again, err := got.Encode()
	is.NoErr(err)
	is.Equal(string(again), string(whole))

	var base *publish.BaseError
	_, err = second.Apply(d)
	is.True(errors.As(err, &base)) // another revision
	d.Base = second.Revision
	d.Removed = nil
	_, err = bundle(t, store, change(file(t, "other", 901, 1))).Apply(d)
	is.True(errors.As(err, &base))
	forked := first
	forked.Files = first.Files[1:]
	d.Base = first.Revision
	_, err = forked.Apply(d)
	is.True(errors.As(err, &base)) // the same revision with another content
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1,"index":{"revision":1,"services":[{"service":"a","object":"a-1","hash":"1"}]},"files":["{}"]}`))
	f.Add([]byte(`{"base":1,"index":{"revision":2},"files":[],"digest":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		if b, err := publish.DecodeBundle(data); err == nil {
			_, err := b.Encode()
			is.NoErr(err)
			_, _ = b.Catalogue()
		}
		if d, err := publish.DecodeDelta(data); err == nil {
			_, _ = publish.Bundle{Revision: d.Base}.Apply(d)
		}
	})
}
