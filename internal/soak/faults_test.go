package soak_test

import (
	"syscall"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// minPartition is added to the random duration of a partition. It exceeds the duration
// of a failover by the other VMs, so that they acknowledge commits while one VM still
// reaches the old primary.
const minPartition = 4500 * time.Millisecond

// inject injects a random fault and schedules its end, if it has one. A SIGHUP is not
// recorded as an event.
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
		w.faultLink(w.memberProxies[id], string(id), length)
	case 11, 12:
		w.partitionPrimary(length + minPartition)
	default:
		if w.rng.IntN(2) == 0 {
			w.faultLink(w.storeProxy, "the platform's store", length)
			return
		}
		w.recordFault(length, "the platform's store is slow, loses answers and has lost its history")
		w.env.Platform.SetFaults(platform.Faults{Slow: platform.Duration(100 * time.Millisecond), LoseAnswers: 2})
		w.env.Platform.Store().DropHistory()
		w.after(length, func() { w.env.Platform.SetFaults(platform.Faults{}) })
	}
}

// injectPartial makes a member unreachable from some VMs, or delays the replicas. The
// member is the primary, if there is one, in at least three of four cases.
func (w *world) injectPartial(id chervilladder.UpstreamID, d time.Duration) {
	if w.rng.IntN(3) == 0 {
		w.delayReplicas(time.Duration(5+w.rng.IntN(20)) * time.Second)
		return
	}
	if primary, _ := w.cluster.Primary(); primary != "" && w.rng.IntN(4) > 0 {
		id = primary
	}
	var names []string
	for _, v := range w.vms {
		if w.rng.IntN(2) == 0 {
			names = append(names, v.name)
		}
	}
	d += minPartition / 2 // at least 2.5 s in all
	w.recordFault(d, "%s is unreachable from %v", id, names)
	p := w.memberProxies[id]
	// The name "nobody" keeps the list non-empty, since an empty one means all VMs.
	p.set(linkFault{stallToTarget: true, stallToVM: true, reject: true, vms: append(names, "nobody")})
	w.after(d, func() { p.set(linkFault{}) })
}

// lagWindow is how long the replicas have the fault Lag. They apply the commits that
// they receive in this time late, and later commits only after those.
const lagWindow = 200 * time.Millisecond

// delayReplicas makes the replicas apply some commits late.
func (w *world) delayReplicas(lag time.Duration) {
	primary, _ := w.cluster.Primary()
	w.recordFault(lag, "all replicas of %s lag", primary)
	for id := range w.memberProxies {
		if id != primary {
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
	primary, _ := w.cluster.Primary()
	connected := w.rng.IntN(len(w.vms))
	if primary == "" {
		w.record("no partition: no member is primary")
		return
	}
	var others []string
	for i, v := range w.vms {
		if i != connected {
			others = append(others, v.name)
		}
	}
	w.recordFault(d, "%s and %s are partitioned from the others", primary, w.vms[connected].name)
	w.cluster.Set(primary, func(f *cluster.Faults) { f.NoReplication = true })
	for id, p := range w.memberProxies {
		f := linkFault{stallToTarget: true, stallToVM: true, reject: true, vms: others}
		if id != primary {
			f.vms = []string{w.vms[connected].name}
		}
		p.set(f)
	}
	w.after(d, func() {
		w.cluster.Set(primary, func(f *cluster.Faults) { f.NoReplication = false })
		for _, p := range w.memberProxies {
			p.set(linkFault{})
		}
	})
}

// faultLink injects a random fault into the connections through a proxy.
func (w *world) faultLink(p *faultProxy, name string, d time.Duration) {
	var f linkFault
	switch w.rng.IntN(5) {
	case 0:
		w.record("connections to %s are reset", name)
		p.reset()
		return
	case 1:
		f.delay = time.Duration(1+w.rng.IntN(60)) * time.Millisecond
	case 2:
		f.stallToTarget = true
	case 3:
		f.stallToVM = true
	default:
		f.stallToTarget, f.stallToVM, f.reject = true, true, true
	}
	w.recordFault(d, "link to %s: %+v", name, f)
	p.set(f)
	w.after(d, func() { p.set(linkFault{}) })
}
