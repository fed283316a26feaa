package soak_test

import (
	"syscall"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// splitAtLeast is longer than it takes the other VMs to replace a primary that is cut
// off, so that they acknowledge commits while one VM still sees the old one.
const splitAtLeast = 4500 * time.Millisecond

// harm does something to the system and takes it back after a time.
func (w *world) harm() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	id := memberID(w.rng.IntN(3))
	length := time.Duration(300+w.rng.IntN(3000)) * time.Millisecond
	if w.shape.partly && w.rng.IntN(2) == 0 {
		w.harmPartly(id, length)
		return
	}
	switch w.rng.IntN(14) {
	case 0:
		w.harmed(length, "%s is killed", v.name)
		exited := v.signal(syscall.SIGKILL)
		w.later(length, func() { w.restart(v, exited) })
	case 1:
		w.note("%s is told to end", v.name)
		exited := v.signal(syscall.SIGTERM)
		w.later(length, func() { w.restart(v, exited) })
	case 2:
		w.harmed(length, "%s is stopped", v.name)
		v.signal(syscall.SIGSTOP)
		w.later(length, func() { v.signal(syscall.SIGCONT) })
	case 3:
		v.signal(syscall.SIGHUP)
	case 4, 5:
		w.member(id, "down", length, func(f *cluster.Faults) { f.Down = true })
	case 6:
		w.member(id, "silent", length, func(f *cluster.Faults) { f.Silent = true })
	case 7:
		w.member(id, "alone", length, func(f *cluster.Faults) { f.Alone = true })
	case 8:
		w.member(id, "losing answers", length, func(f *cluster.Faults) { f.LoseAnswers = 25 })
	case 9, 10:
		w.path(w.members[id], string(id), length)
	case 11, 12:
		w.split(length + splitAtLeast)
	default:
		if w.rng.IntN(2) == 0 {
			w.path(w.store, "the store", length)
			return
		}
		w.harmed(length, "the store is slow, loses answers and its history")
		w.prep.Platform.SetFaults(platform.Faults{Slow: platform.Duration(100 * time.Millisecond), LoseAnswers: 2})
		w.prep.Platform.Store().Forget()
		w.later(length, func() { w.prep.Platform.SetFaults(platform.Faults{}) })
	}
}

// harmPartly cuts some VMs off from a member, in most cases from the primary, or has
// replicas fall behind.
func (w *world) harmPartly(id chervilladder.UpstreamID, d time.Duration) {
	if w.rng.IntN(3) == 0 {
		w.fallBehind(time.Duration(5+w.rng.IntN(20)) * time.Second)
		return
	}
	if leader, _ := w.cluster.Leader(); leader != "" && w.rng.IntN(4) > 0 {
		id = leader
	}
	var names []string
	for _, v := range w.vms {
		if w.rng.IntN(2) == 0 {
			names = append(names, v.name)
		}
	}
	d += splitAtLeast / 2
	w.harmed(d, "%s is out of reach of %v", id, names)
	p := w.members[id]
	p.set(trouble{toServer: true, toClient: true, refuse: true, only: append(names, "nobody")})
	w.later(d, func() { p.set(trouble{}) })
}

// stuckFor is how long commits arrive that replicas take long to apply. Those that
// arrive later wait for them.
const stuckFor = 200 * time.Millisecond

// fallBehind has the replicas apply some commits late.
func (w *world) fallBehind(lag time.Duration) {
	leader, _ := w.cluster.Leader()
	w.harmed(lag, "all replicas of %s fall behind", leader)
	for id := range w.members {
		if id != leader {
			w.cluster.Set(id, func(f *cluster.Faults) { f.Lag = lag })
			w.later(stuckFor, func() { w.cluster.Set(id, func(f *cluster.Faults) { f.Lag = 0 }) })
		}
	}
}

func (w *world) later(d time.Duration, f func()) {
	w.pending.Add(1)
	time.AfterFunc(d, func() {
		defer w.pending.Done()
		f()
	})
}

// restart starts a VM again once the process that was told to end is gone. Of
// two harms to the same process, one starts it again.
func (w *world) restart(v *vm, exited <-chan struct{}) {
	v.signal(syscall.SIGCONT)
	if !await(exited, 10*time.Second) {
		w.t.Errorf("%s does not end within ten seconds", v.name)
	}
	if v.start(exited) {
		w.note("%s starts again", v.name)
	}
}

func (w *world) member(id chervilladder.UpstreamID, what string, d time.Duration, change func(*cluster.Faults)) {
	w.harmed(d, "%s is %s", id, what)
	w.cluster.Set(id, change)
	w.later(d, func() { w.cluster.Set(id, func(f *cluster.Faults) { *f = cluster.Faults{} }) })
}

// split cuts the primary off from its replicas and from all VMs but one, which
// in turn reaches nobody else: to that VM all seems well. While a replacement
// goes on there may be no primary to cut off.
func (w *world) split(d time.Duration) {
	leader, _ := w.cluster.Leader()
	fooled := w.rng.IntN(len(w.vms))
	if leader == "" {
		w.note("no member leads that a split could cut off")
		return
	}
	var others []string
	for i, v := range w.vms {
		if i != fooled {
			others = append(others, v.name)
		}
	}
	w.harmed(d, "%s is alone with %s", leader, w.vms[fooled].name)
	w.cluster.Set(leader, func(f *cluster.Faults) { f.Alone = true })
	for id, p := range w.members {
		t := trouble{toServer: true, toClient: true, refuse: true, only: others}
		if id != leader {
			t.only = []string{w.vms[fooled].name}
		}
		p.set(t)
	}
	w.later(d, func() {
		w.cluster.Set(leader, func(f *cluster.Faults) { f.Alone = false })
		for _, p := range w.members {
			p.set(trouble{})
		}
	})
}

// path harms the connections through a proxy.
func (w *world) path(p *proxy, name string, d time.Duration) {
	var t trouble
	switch w.rng.IntN(5) {
	case 0:
		w.note("connections to %s are reset", name)
		p.reset()
		return
	case 1:
		t.delay = time.Duration(1+w.rng.IntN(60)) * time.Millisecond
	case 2:
		t.toServer = true
	case 3:
		t.toClient = true
	default:
		t.toServer, t.toClient, t.refuse = true, true, true
	}
	w.harmed(d, "path to %s: %+v", name, t)
	p.set(t)
	w.later(d, func() { p.set(trouble{}) })
}
