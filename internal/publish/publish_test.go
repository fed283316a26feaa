package publish_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/platformtest"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// file returns the file of a service. Tests vary slots to change its content.
func file(t *testing.T, service string, port, slots int) servicefile.File {
	t.Helper()
	text := fmt.Sprintf(`{
  // Slots: %[3]d.
  "service": %[1]q, "default-class": "c",
  "databases": [{"name": "%[1]s-d", "upstreams": [
    {"name": "%[1]s-u", "address": "10.0.0.1:%[2]d", "data-centre": "dc", "slots": %[3]d, "connections": 9}]}],
  "classes": [{"name": "c", "priority": "urgent", "target": "1s", "deadline": "2s"}]
}`, service, port, slots)
	f, err := servicefile.Parse(service+".json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return *f
}

func change(files ...servicefile.File) publish.Change { return publish.Change{Files: files} }

func newPublisher(t *testing.T, store *platformtest.Store, operator string) *publish.Publisher {
	t.Helper()
	p, err := publish.New(publish.Config{Platform: store, Operator: operator})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// slotsInForce returns the revision in force and the slots of each service.
func slotsInForce(t *testing.T, store *platformtest.Store) (chervilladder.Revision, map[string]int) {
	t.Helper()
	index, files, err := publish.Load(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	slots := make(map[string]int)
	for _, f := range files {
		slots[string(f.Service)] = f.Databases[0].Upstreams[0].Slots
	}
	return index.Revision, slots
}

func TestPublishMerges(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	ana := newPublisher(t, store, "ana")
	ctx := t.Context()
	first, err := ana.Publish(ctx, change(file(t, "a", 1, 1), file(t, "b", 2, 1)))
	is.NoErr(err)
	is.Equal(first.Revision, chervilladder.Revision(1))
	_, err = ana.Publish(ctx, change(file(t, "b", 2, 2)))
	is.NoErr(err)
	revision, slots := slotsInForce(t, store)
	is.Equal(revision, chervilladder.Revision(2))
	is.Equal(slots, map[string]int{"a": 1, "b": 2})
	same, err := ana.Publish(ctx, change(file(t, "b", 2, 2)))
	is.NoErr(err)
	is.Equal(same.Revision, chervilladder.Revision(2)) // nothing to change
	_, err = ana.Publish(ctx, publish.Change{Remove: []chervilladder.ServiceID{"a"}})
	is.NoErr(err)
	_, slots = slotsInForce(t, store)
	is.Equal(slots, map[string]int{"b": 2})
	_, err = ana.Publish(ctx, publish.Change{Remove: []chervilladder.ServiceID{"a"}})
	is.True(err != nil)
	_, err = ana.Publish(ctx, change(file(t, "z", 2, 1)))
	var check *servicefile.CheckError
	is.True(errors.As(err, &check)) // another service in force has the address
}

func TestConcurrentOperators(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	ana, bina := newPublisher(t, store, "ana"), newPublisher(t, store, "bina")
	_, err := ana.Publish(t.Context(), change(file(t, "a", 1, 1), file(t, "b", 2, 1)))
	is.NoErr(err)
	raced := false
	store.SetFaults(platformtest.Faults{BeforePut: func(o chervilladder.Object) error {
		if o.Kind != chervilladder.KindIndex || raced {
			return nil
		}
		raced = true
		_, err := bina.Publish(t.Context(), change(file(t, "b", 2, 7)))
		return err
	}})
	_, err = ana.Publish(t.Context(), change(file(t, "a", 1, 3)))
	var conflict *publish.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Operator, "bina")
	is.Equal(conflict.Services, []chervilladder.ServiceID{"b"})
	is.True(strings.Contains(err.Error(), "nothing published: revision 2 by bina is in force, not revision 1; it changed b;"))
	revision, slots := slotsInForce(t, store)
	is.Equal(revision, chervilladder.Revision(2))
	is.Equal(slots, map[string]int{"a": 1, "b": 7})
}

func TestExpectedRevision(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	ana := newPublisher(t, store, "ana")
	for slots := 1; slots <= 3; slots++ {
		_, err := ana.Publish(t.Context(), change(file(t, "a", 1, slots)))
		is.NoErr(err)
	}
	old := chervilladder.Revision(1)
	late := change(file(t, "a", 1, 9))
	late.Expect = &old
	_, err := ana.Publish(t.Context(), late)
	var conflict *publish.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Base, old)
	is.Equal(conflict.Services, []chervilladder.ServiceID{"a"})
}

func TestLostAnswers(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"after the change":  {LoseAnswers: 2},
		"before the change": {LosePuts: 2},
		"both":              {LoseAnswers: 1, LosePuts: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := platformtest.New()
				ana := newPublisher(t, store, "ana")
				for slots := 1; slots <= 3; slots++ {
					store.SetFaults(faults)
					index, err := ana.Publish(t.Context(), change(file(t, "a", 1, slots)))
					is.NoErr(err)
					revision, inForce := slotsInForce(t, store)
					is.Equal(revision, index.Revision)
					is.Equal(inForce["a"], slots)
				}
			})
		})
	}
}

// loseIndexAnswer loses the response to the next put of the index, and runs a
// function before the put is retried.
func loseIndexAnswer(store *platformtest.Store, then func()) {
	beforeRetry := func(chervilladder.Object) error {
		store.SetFaults(platformtest.Faults{})
		then()
		return nil
	}
	store.SetFaults(platformtest.Faults{BeforePut: func(o chervilladder.Object) error {
		if o.Kind == chervilladder.KindIndex {
			store.SetFaults(platformtest.Faults{LoseAnswers: 1, BeforePut: beforeRetry})
		}
		return nil
	}})
}

func TestLostAnswerThenReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platformtest.New()
		ana, bina := newPublisher(t, store, "ana"), newPublisher(t, store, "bina")
		_, err := ana.Publish(t.Context(), change(file(t, "a", 1, 1)))
		is.NoErr(err)
		loseIndexAnswer(store, func() {
			_, err := bina.Publish(t.Context(), change(file(t, "a", 1, 5)))
			is.NoErr(err)
		})
		index, err := ana.Publish(t.Context(), change(file(t, "a", 1, 2)))
		is.NoErr(err) // the history shows that it was in force
		is.Equal(index.Revision, chervilladder.Revision(2))
		history, err := publish.History(t.Context(), store, 10)
		is.NoErr(err)
		is.Equal(len(history), 3)
		is.Equal(history[0].Operator, "bina")
		is.Equal(history[1].Attempt, index.Attempt)
	})
}

func TestUnknownWhenPlatformGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platformtest.New()
		ana := newPublisher(t, store, "ana")
		store.SetFaults(platformtest.Faults{BeforePut: func(o chervilladder.Object) error {
			if o.Kind == chervilladder.KindIndex {
				store.SetFaults(platformtest.Faults{LosePuts: 100})
			}
			return nil
		}})
		_, err := ana.Publish(t.Context(), change(file(t, "a", 1, 1)))
		var unknown *publish.UnknownError
		is.True(errors.As(err, &unknown))
		is.Equal(unknown.Revision, chervilladder.Revision(1))
		is.True(strings.Contains(err.Error(), string(unknown.Attempt)))
	})
}

func TestCrashBetweenPuts(t *testing.T) {
	errCrash := errors.New("crash")
	for crashAt := 1; crashAt <= 4; crashAt++ {
		t.Run(fmt.Sprint("put ", crashAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := platformtest.New()
				ana := newPublisher(t, store, "ana")
				_, err := ana.Publish(t.Context(), change(file(t, "a", 1, 1), file(t, "b", 2, 1)))
				is.NoErr(err)
				puts := 0
				store.SetFaults(platformtest.Faults{BeforePut: func(chervilladder.Object) error {
					puts++
					if puts >= crashAt {
						return errCrash
					}
					return nil
				}})
				_, err = ana.Publish(t.Context(), change(file(t, "a", 1, 2), file(t, "b", 2, 2)))
				is.True(errors.Is(err, errCrash))
				store.SetFaults(platformtest.Faults{})
				revision, slots := slotsInForce(t, store)
				is.Equal(revision, chervilladder.Revision(1))
				is.Equal(slots, map[string]int{"a": 1, "b": 1})
				index, err := ana.Publish(t.Context(), change(file(t, "a", 1, 2), file(t, "b", 2, 2)))
				is.NoErr(err) // objects left by the crash don't prevent a new attempt
				is.Equal(index.Revision, chervilladder.Revision(2))
			})
		})
	}
}

func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platformtest.New()
		store.SetFaults(platformtest.Faults{Down: true})
		_, err := newPublisher(t, store, "ana").Publish(t.Context(), change(file(t, "a", 1, 1)))
		var failed *chervilladder.PlatformError
		is.True(errors.As(err, &failed))
		var unknown *publish.UnknownError
		is.True(!errors.As(err, &unknown))
	})
}

func TestRollbackMakesNewRevision(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	ana := newPublisher(t, store, "ana")
	for slots := 1; slots <= 3; slots++ {
		_, err := ana.Publish(t.Context(), change(file(t, "a", 1, slots)))
		is.NoErr(err)
	}
	index, err := ana.Rollback(t.Context(), 1, "too many", nil)
	is.NoErr(err)
	is.Equal(index.Revision, chervilladder.Revision(4))
	_, slots := slotsInForce(t, store)
	is.Equal(slots["a"], 1)
	_, err = ana.Rollback(t.Context(), 17, "", nil)
	var none *publish.NoRevisionError
	is.True(errors.As(err, &none))
	history, err := publish.History(t.Context(), store, 3)
	is.NoErr(err)
	is.Equal(len(history), 3)
	is.Equal(history[0].Note, "too many")
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	ana := newPublisher(t, store, "ana")
	const extra = 5
	for n := range publish.HistoryLength + extra {
		_, err := ana.Publish(t.Context(), change(file(t, "a", 1, n%2+1)))
		is.NoErr(err)
	}
	history, err := publish.History(t.Context(), store, 2*publish.HistoryLength)
	is.NoErr(err)
	is.Equal(len(history), publish.HistoryLength+1)
	_, err = publish.PastIndex(t.Context(), store, extra-1)
	var none *publish.NoRevisionError
	is.True(errors.As(err, &none))
}

func TestBundle(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	ana := newPublisher(t, store, "ana")
	_, err := ana.Publish(t.Context(), change(file(t, "a", 1, 1), file(t, "b", 2, 1)))
	is.NoErr(err)
	b, err := publish.Refresh(t.Context(), store, publish.Bundle{})
	is.NoErr(err)
	data, err := b.Encode()
	is.NoErr(err)
	got, err := publish.DecodeBundle(data)
	is.NoErr(err)
	is.Equal(got.Index, b.Index)
	c, err := got.Catalogue()
	is.NoErr(err)
	is.Equal(len(c.Databases), 2)
	_, err = publish.DecodeBundle([]byte(strings.Replace(string(data), "Slots: 1", "Slots: 2", 1)))
	var corrupt *publish.CorruptError
	is.True(errors.As(err, &corrupt))

	_, err = ana.Publish(t.Context(), change(file(t, "b", 2, 2)))
	is.NoErr(err)
	before := store.Calls()
	b, err = publish.Refresh(t.Context(), store, got)
	is.NoErr(err)
	is.Equal(b.Revision, chervilladder.Revision(2))
	is.Equal(store.Calls()-before, 2) // the index and the one file that changed
}

func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platformtest.New()
		store.SetFaults(platformtest.Faults{Delay: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		_, err := newPublisher(t, store, "ana").Publish(ctx, change(file(t, "a", 1, 1)))
		is.True(errors.Is(err, context.DeadlineExceeded))
		store.SetFaults(platformtest.Faults{})
		revision, _ := slotsInForce(t, store)
		is.Equal(revision, chervilladder.Revision(0))
	})
}
