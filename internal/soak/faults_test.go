package soak_test

import (
	"syscall"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// minSplit is longer than a failover by the other VMs takes, so that they
// acknowledge commits while one VM still reaches the old primary.
const minSplit = 4500 * time.Millisecond

// inject injects a random fault and schedules its end.
func (w *world) inject() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	id := memberID(w.rng.IntN(3))
	length := time.Duration(300+w.rng.IntN(3000)) * time.Millisecond
	if w.scale.partialFaults && w.rng.IntN(2) == 0 {
		w.injectPartial(id, length)
		return
	}
	switch w.rng.IntN(14) {
	case 0:
		w.recordFault(length, "%s is killed", v.name)
		exited := v.signal(syscall.SIGKILL)
		w.after(length, func() { w.restart(v, exited) })
	case 1:
		w.record("%s is sent SIGTERM", v.name)
		exited := v.signal(syscall.SIGTERM)
		w.after(length, func() { w.restart(v, exited) })
	case 2:
		w.recordFault(length, "%s is suspended", v.name)
		v.signal(syscall.SIGSTOP)
		w.after(length, func() { v.signal(syscall.SIGCONT) })
	case 3:
		v.signal(syscall.SIGHUP)
	case 4, 5:
		w.faultMember(id, "down", length, func(f *cluster.Faults) { f.Down = true })
	case 6:
		w.faultMember(id, "silent", length, func(f *cluster.Faults) { f.Silent = true })
	case 7:
		w.faultMember(id, "without replication", length, func(f *cluster.Faults) { f.NoReplication = true })
	case 8:
		w.faultMember(id, "losing answers", length, func(f *cluster.Faults) { f.LoseAnswers = 25 })
	case 9, 10:
		w.faultLink(w.members[id], string(id), length)
	case 11, 12:
		w.partitionPrimary(length + minSplit)
	default:
		if w.rng.IntN(2) == 0 {
			w.faultLink(w.store, "the platform's store", length)
			return
		}
		w.recordFault(length, "the platform's store is slow, loses answers and has lost its history")
		w.env.Platform.SetFaults(platform.Faults{Slow: platform.Duration(100 * time.Millisecond), LoseAnswers: 2})
		w.env.Platform.Store().DropHistory()
		w.after(length, func() { w.env.Platform.SetFaults(platform.Faults{}) })
	}
}

// injectPartial makes a member, in most cases the primary, unreachable from some
// VMs, or delays the replicas.
func (w *world) injectPartial(id chervilladder.UpstreamID, d time.Duration) {
	if w.rng.IntN(3) == 0 {
		w.delayReplicas(time.Duration(5+w.rng.IntN(20)) * time.Second)
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
	d += minSplit / 2
	w.recordFault(d, "%s is unreachable from %v", id, names)
	p := w.members[id]
	p.set(linkFault{stallToTarget: true, stallToVM: true, reject: true, vms: append(names, "nobody")})
	w.after(d, func() { p.set(linkFault{}) })
}

// lagWindow is how long replicas receive commits that they apply late. Later
// commits are applied after those.
const lagWindow = 200 * time.Millisecond

// delayReplicas makes the replicas apply some commits late.
func (w *world) delayReplicas(lag time.Duration) {
	leader, _ := w.cluster.Leader()
	w.recordFault(lag, "all replicas of %s lag", leader)
	for id := range w.members {
		if id != leader {
			w.cluster.Set(id, func(f *cluster.Faults) { f.Lag = lag })
			w.after(lagWindow, func() { w.cluster.Set(id, func(f *cluster.Faults) { f.Lag = 0 }) })
		}
	}
}

func (w *world) after(d time.Duration, f func()) {
	w.pending.Add(1)
	time.AfterFunc(d, func() {
		defer w.pending.Done()
		f()
	})
}

// restart starts a VM again once its signalled process has exited. Of two faults
// that end the same process, only one restarts it.
func (w *world) restart(v *vm, exited <-chan struct{}) {
	v.signal(syscall.SIGCONT)
	if !await(exited, 10*time.Second) {
		w.t.Errorf("%s does not exit within ten seconds", v.name)
	}
	if v.start(exited) {
		w.record("%s is restarted", v.name)
	}
}

func (w *world) faultMember(id chervilladder.UpstreamID, what string, d time.Duration, change func(*cluster.Faults)) {
	w.recordFault(d, "%s is %s", id, what)
	w.cluster.Set(id, change)
	w.after(d, func() { w.cluster.Set(id, func(f *cluster.Faults) { *f = cluster.Faults{} }) })
}

// partitionPrimary isolates the primary from its replicas and from all VMs but one.
// That VM reaches no other member, so that to it the primary seems healthy. During
// a failover there may be no primary; it then does nothing.
func (w *world) partitionPrimary(d time.Duration) {
	leader, _ := w.cluster.Leader()
	connected := w.rng.IntN(len(w.vms))
	if leader == "" {
		w.record("no partition: no member is primary")
		return
	}
	var others []string
	for i, v := range w.vms {
		if i != connected {
			others = append(others, v.name)
		}
	}
	w.recordFault(d, "%s is partitioned off with %s", leader, w.vms[connected].name)
	w.cluster.Set(leader, func(f *cluster.Faults) { f.NoReplication = true })
	for id, p := range w.members {
		t := linkFault{stallToTarget: true, stallToVM: true, reject: true, vms: others}
		if id != leader {
			t.vms = []string{w.vms[connected].name}
		}
		p.set(t)
	}
	w.after(d, func() {
		w.cluster.Set(leader, func(f *cluster.Faults) { f.NoReplication = false })
		for _, p := range w.members {
			p.set(linkFault{})
		}
	})
}

// faultLink injects a random fault into the connections through a proxy.
func (w *world) faultLink(p *proxy, name string, d time.Duration) {
	var t linkFault
	switch w.rng.IntN(5) {
	case 0:
		w.record("connections to %s are reset", name)
		p.reset()
		return
	case 1:
		t.delay = time.Duration(1+w.rng.IntN(60)) * time.Millisecond
	case 2:
		t.stallToTarget = true
	case 3:
		t.stallToVM = true
	default:
		t.stallToTarget, t.stallToVM, t.reject = true, true, true
	}
	w.recordFault(d, "link to %s: %+v", name, t)
	p.set(t)
	w.after(d, func() { p.set(linkFault{}) })
}
