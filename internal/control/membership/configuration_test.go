package membership_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/control/configuration"
	"github.com/chervilladder/chervilladder/internal/platformtest"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// watchWait is the time after which the platform ends a watch without a change.
const watchWait = 30 * time.Second

// Watch waits for a change, for watchWait at most as at the platform.
func (p *platform) Watch(ctx context.Context, kind chervilladder.ObjectKind, after chervilladder.Version) ([]chervilladder.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	return p.Store.Watch(ctx, kind, after)
}

// objectCalls counts the calls other than those for the list of VMs.
func (p *platform) objectCalls() int64 {
	return int64(p.Calls()) - p.listCalls.Load()
}

// puller pulls configurations from the blackboards of other VMs.
type puller struct {
	fleet *fleet
	self  chervilladder.Address
}

func (p puller) Pull(ctx context.Context, from chervilladder.Address, newerThan chervilladder.Revision) (chervilladder.Relayed, error) {
	time.Sleep(2 * oneWayDelay)
	n := p.fleet.net
	n.mu.Lock()
	v, ok := n.vms[from]
	ok = ok && n.side[from] == n.side[p.self] && n.side[from] != isolated
	n.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return chervilladder.Relayed{}, ctx.Err()
	}
	r := v.board.Published.Load().For(newerThan)
	n.mu.Lock()
	n.pulled += int64(len(r.Encoded))
	n.mu.Unlock()
	return r, nil
}

// configurationRunner returns a function that runs the configuration controller of a VM.
func (f *fleet) configurationRunner(ctx context.Context, v *vm) func() {
	c, err := configuration.New(configuration.Config{
		Board:    v.board,
		Platform: f.platform,
		Relay:    puller{f, v.board.Self.Peer},
		Log:      silent(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return func() { _ = c.Run(ctx) }
}

// serviceFile returns a service file that differs for each number of slots.
func serviceFile(t *testing.T, name string, slots int) servicefile.File {
	text := fmt.Sprintf(`{"service": %q, "default-class": "a",
		"databases": [{"name": "%s-1", "upstreams": [{"name": "%s-1-1", "address": "10.9.0.%d:1", "data-centre": "a", "slots": %d, "connections": 900}]}],
		"classes": [{"name": "a", "priority": "urgent", "target": "1s", "deadline": "2s"}]}`,
		name, name, name, slots%250+1, slots)
	f, err := servicefile.Parse(name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return *f
}

func (f *fleet) publish(file servicefile.File) chervilladder.Revision {
	f.t.Helper()
	p, err := publish.New(publish.Config{Platform: f.platform, Operator: "ana"})
	if err != nil {
		f.t.Fatal(err)
	}
	index, err := p.Publish(context.Background(), publish.Change{Files: []servicefile.File{file}})
	if err != nil {
		f.t.Fatal(err)
	}
	return index.Revision
}

// awaitRevision waits until a revision is in force at all VMs, and returns how long
// that took. It fails if a VM returns to an older revision meanwhile.
func (f *fleet) awaitRevision(r chervilladder.Revision, limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	before := make([]chervilladder.Revision, len(f.vms))
	for {
		inForce := 0
		for i, v := range f.vms {
			now := v.board.Published.Load().Revision
			if now < before[i] {
				f.t.Fatalf("VM %d went from revision %d to %d", i, before[i], now)
			}
			before[i] = now
			if now >= r {
				inForce++
			}
		}
		if inForce == len(f.vms) {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			f.t.Fatalf("after %s revision %d is in force at %d of %d VMs", limit, r, inForce, len(f.vms))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRevisionSpreads logs the figures of docs/CAPACITY-control.md.
func TestRevisionSpreads(t *testing.T) {
	for _, text := range strings.Split(*sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		withFleet(t, size, func(is *is.I, f *fleet) {
			f.awaitRevision(f.publish(serviceFile(t, "agenda", 1)), 10*time.Second)
			time.Sleep(watchWait)
			const changes = 10
			calls, pulled := f.platform.objectCalls(), f.net.countPulled()
			var worst time.Duration
			for i := range changes {
				worst = max(worst, f.awaitRevision(f.publish(serviceFile(t, "agenda", 2+i)), 3*time.Second))
				time.Sleep(time.Second)
			}
			t.Logf("%d VMs: in force everywhere after %s at worst, %.1f calls of the platform, publishing included, %.0f bytes a VM for each change",
				size, worst, float64(f.platform.objectCalls()-calls)/changes, float64(f.net.countPulled()-pulled)/changes/float64(size))
			is.True(worst < 3*time.Second)
		})
	}
}

func TestRevisionSpreadsUnderLoss(t *testing.T) {
	withFleet(t, 50, func(_ *is.I, f *fleet) {
		f.awaitRevision(f.publish(serviceFile(t, "agenda", 1)), 10*time.Second)
		f.net.mu.Lock()
		f.net.loss = 0.1
		f.net.mu.Unlock()
		for i := range 10 {
			f.awaitRevision(f.publish(serviceFile(t, "agenda", 2+i)), 3*time.Second)
		}
	})
}

func TestVMThatStartsDuringAnOutageGetsTheRevision(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		r := f.publish(serviceFile(t, "agenda", 1))
		f.awaitRevision(r, 10*time.Second)
		f.platform.SetFaults(platformtest.Faults{Down: true})
		v := f.start(5, identity(0).Peer)
		f.awaitRevision(r, 2*time.Second)
		is.True(v.board.Catalogue.Load().Databases["agenda-1"] != nil)
	})
}

func TestRevisionDoesNotDecreaseAcrossAPartition(t *testing.T) {
	withFleet(t, 6, func(is *is.I, f *fleet) {
		f.awaitRevision(f.publish(serviceFile(t, "agenda", 1)), 10*time.Second)
		f.split(3)
		time.Sleep(time.Minute)
		r := f.publish(serviceFile(t, "agenda", 2))
		f.awaitRevision(r, 3*time.Second) // each side has VMs that watch the platform
		f.split(6)
		f.awaitAll(time.Minute)
		f.awaitRevision(f.publish(serviceFile(t, "agenda", 3)), 3*time.Second)
	})
}

func TestConfirmationAgesWhileThePlatformIsDown(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		f.awaitRevision(f.publish(serviceFile(t, "agenda", 1)), 10*time.Second)
		time.Sleep(5 * time.Minute)
		for _, v := range f.vms {
			is.True(age(v) < 2*watchWait)
		}
		f.platform.SetFaults(platformtest.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		for _, v := range f.vms {
			is.True(age(v) > 9*time.Minute)
		}
	})
}

func age(v *vm) time.Duration {
	return time.Since(v.board.Published.Load().Confirmed)
}
