package failover_test

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

const (
	// drainTime is how long a member drains before it ends.
	drainTime = 7 * time.Second
	// drainEndsWithin is how long before and after the end of a drain no replica leaves. It is
	// longer than a replica that leaves takes to end.
	drainEndsWithin = 5 * time.Second
)

// register changes the registered members, which the VMs learn of after a time each.
func (y *play) register(change func(), within time.Duration) {
	y.mu.Lock()
	change()
	y.learnt++
	n := y.learnt
	y.mu.Unlock()
	for i := range y.p.vms {
		delay := time.Duration(0)
		if within > 0 {
			delay = within * time.Duration((i*7+n*3+int(y.p.seed))%10) / 10
		}
		time.AfterFunc(delay, func() { y.w.VM(i).SetMembers(y.known()...) })
	}
}

// known returns the members whose entries are there.
func (y *play) known() []chervilladder.Registered {
	y.mu.Lock()
	defer y.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(y.registered), func(m chervilladder.Registered) bool { return y.expired[m.ID] })
}

func (y *play) memberOf(d disruption) chervilladder.UpstreamID {
	switch d.member {
	case primary:
		id, _ := y.w.Cluster.Primary()
		return id
	case candidate:
		y.mu.Lock()
		defer y.mu.Unlock()
		return y.orderedLast
	default:
		return clustertest.MemberID(d.member)
	}
}

// during applies a fault for a time.
func (d disruption) during(set func(bool)) {
	set(true)
	time.Sleep(d.lasts)
	set(false)
}

func (y *play) fault(id chervilladder.UpstreamID, d disruption, set func(*cluster.Faults, bool)) {
	d.during(func(on bool) {
		if y.present(id) {
			y.w.Cluster.Set(id, func(f *cluster.Faults) { set(f, on) })
		}
	})
}

// orderUnderWay reports whether an order for a member may still take effect.
func (y *play) orderUnderWay(id chervilladder.UpstreamID) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	at, ordered := y.ordered[id]
	return ordered && time.Since(at) < orderUnderWay
}

// present reports whether a member's entry is there, or has expired, and the member hasn't
// ended.
func (y *play) present(id chervilladder.UpstreamID) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return !y.gone[id] && slices.ContainsFunc(y.registered, func(m chervilladder.Registered) bool { return m.ID == id })
}

// disrupt runs a disruption to its end.
func (y *play) disrupt(d disruption) {
	id := y.memberOf(d)
	if !y.present(id) {
		return
	}
	y.note("DISRUPTION %s (%s)", d, id)
	defer func() { y.note("end of #%d", d.number) }()
	if y.disruptMember(d, id) || y.disruptRegistry(d, id) || y.disruptPlatform(d) {
		return
	}
	y.disruptVM(d, id)
}

func (y *play) disruptMember(d disruption, id chervilladder.UpstreamID) bool {
	switch d.kind {
	case "dark":
		y.fault(id, d, func(f *cluster.Faults, on bool) { f.Silent, f.NoReplication = on, on })
	case "down":
		y.fault(id, d, func(f *cluster.Faults, on bool) { f.Down = on })
	case "deaf", "cut-off":
		y.fault(id, d, func(f *cluster.Faults, on bool) { f.NoReplication = on })
	default:
		return false
	}
	return true
}

func (y *play) disruptRegistry(d disruption, id chervilladder.UpstreamID) bool {
	switch d.kind {
	case "drain":
		y.drain(d, id)
	case "join":
		y.join(d)
	case "leave":
		y.leave(d, id)
	case "reborn":
		y.reborn(d, id)
	case "expire":
		d.during(func(on bool) { y.register(func() { y.expired[id] = on }, 0) })
	default:
		return false
	}
	return true
}

func (y *play) join(d disruption) {
	if skipped("join") {
		return
	}
	m := clustertest.Member(10 + d.number)
	y.w.Cluster.Add(m)
	y.note("%s joins", m.ID)
	y.register(func() { y.registered = append(y.registered, m) }, 1200*time.Millisecond)
}

// drain has a member drain and end, while another one takes its place.
func (y *play) drain(d disruption, id chervilladder.UpstreamID) {
	y.register(func() {
		for i := range y.registered {
			if y.registered[i].ID == id {
				y.registered[i].Draining = true
			}
		}
	}, min(d.lasts, 1200*time.Millisecond))
	if d.number%2 == 0 {
		time.Sleep(d.lasts / 4)
	}
	y.join(d)
	y.mu.Lock()
	y.drainUntil = time.Now().Add(drainTime)
	y.mu.Unlock()
	time.Sleep(drainTime)
	y.register(func() {
		y.registered = slices.DeleteFunc(y.registered, func(m chervilladder.Registered) bool { return m.ID == id })
	}, 0)
	time.Sleep(50 * time.Millisecond)
	y.end(id)
}

// leave has a replica end for good, before its entry goes or after it. At least two members
// stay, and the replica doesn't end about when one that drains does: the two may be the only
// ones that hold a commit.
func (y *play) leave(d disruption, id chervilladder.UpstreamID) {
	if p, _ := y.w.Cluster.Primary(); p == id || y.staying() <= 2 || y.drainEnds() {
		return
	}
	if d.number%2 == 0 {
		y.end(id)
		time.Sleep(min(d.lasts, 3*time.Second))
	}
	y.register(func() {
		y.registered = slices.DeleteFunc(y.registered, func(m chervilladder.Registered) bool { return m.ID == id })
	}, 1200*time.Millisecond)
	if d.number%2 != 0 {
		time.Sleep(min(d.lasts, 3*time.Second))
		y.end(id)
	}
}

// staying returns how many members stay.
func (y *play) staying() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := 0
	for _, m := range y.registered {
		if !m.Draining && !y.gone[m.ID] {
			n++
		}
	}
	return n
}

// drainEnds reports whether a member that drains ends soon or has just ended.
func (y *play) drainEnds() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return !y.drainUntil.IsZero() && time.Until(y.drainUntil).Abs() < drainEndsWithin
}

// end ends a member for good.
func (y *play) end(id chervilladder.UpstreamID) {
	y.mu.Lock()
	before := y.gone[id]
	y.gone[id] = true
	y.mu.Unlock()
	if !before {
		time.Sleep(time.Millisecond) // another disruption may be about to change it
		y.w.Cluster.Remove(id)
	}
}

// reborn has a replica start again under its id, without its log.
func (y *play) reborn(d disruption, id chervilladder.UpstreamID) {
	if p, _ := y.w.Cluster.Primary(); p == id || y.p.lateOrders && y.orderUnderWay(id) {
		return
	}
	y.w.Cluster.Set(id, func(f *cluster.Faults) { f.Down = true })
	time.Sleep(min(d.lasts, time.Second))
	var m chervilladder.Registered
	y.mu.Lock()
	for i := range y.registered {
		if y.registered[i].ID == id {
			y.registered[i].Born = time.Now()
			m = y.registered[i]
		}
	}
	y.mu.Unlock()
	if m.ID == "" || !y.present(id) {
		return
	}
	y.w.Cluster.Remove(id)
	y.w.Cluster.Add(m)
	y.register(func() {}, 1200*time.Millisecond)
}

// disruptPlatform disturbs the promotions of all VMs.
func (y *play) disruptPlatform(d disruption) bool {
	set := func(change func(*clustertest.FaultyPromoter)) {
		for i := range y.p.vms {
			change(y.w.VM(i).Promoter)
		}
	}
	switch d.kind {
	case "platform-down":
		d.during(func(on bool) { set(func(p *clustertest.FaultyPromoter) { p.Unavailable.Store(on) }) })
	case "platform-late":
		set(func(p *clustertest.FaultyPromoter) { p.Delay.Store(int64(d.lasts)) })
		time.Sleep(2 * time.Second)
		set(func(p *clustertest.FaultyPromoter) { p.Delay.Store(0) })
	default:
		return false
	}
	return true
}

func (y *play) disruptVM(d disruption, id chervilladder.UpstreamID) {
	vm := y.w.VM(d.vm)
	switch d.kind {
	case "kill":
		vm.Kill()
		time.Sleep(d.lasts)
		y.startAnew(d.vm)
	case "all-killed":
		for i := range y.p.vms {
			y.w.VM(i).Kill()
		}
		time.Sleep(min(d.lasts, time.Second))
		for i := range y.p.vms {
			y.startAnew(i)
		}
	case "freeze":
		vm.Freeze(d.lasts)
		time.Sleep(d.lasts)
	case "cut":
		d.during(func(on bool) {
			for _, m := range y.known() {
				vm.Linker.SetUnreachable(on, m.ID)
			}
		})
	case "hidden":
		d.during(func(on bool) { vm.Linker.SetUnreachable(on, id) })
	case "peers-cut":
		d.during(vm.Unreachable.Store)
	case "record-cut":
		d.during(vm.Record.Unreachable.Store)
	case "record-lost":
		d.during(vm.Record.LoseResponses.Store)
	case "order-lost":
		d.during(vm.Promoter.LoseResponses.Store)
	case "order-late":
		vm.Promoter.Delay.Store(int64(d.lasts))
		time.Sleep(3 * time.Second)
		vm.Promoter.Delay.Store(0)
	case "commands-late":
		y.setLate(d.vm, d.lasts/4)
		time.Sleep(2 * time.Second)
		y.setLate(d.vm, 0)
	case "resign":
		y.resign(d, vm)
	}
}

// resign has a VM leave and start anew.
func (y *play) resign(d disruption, vm *clustertest.VM) {
	y.mu.Lock()
	select {
	case <-vm.ResignLeadership:
	default:
		close(vm.ResignLeadership)
	}
	y.mu.Unlock()
	time.Sleep(d.lasts)
	y.startAnew(d.vm)
}

func (y *play) setLate(vm int, d time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.late[vm] = d
}

func (y *play) startAnew(i int) {
	y.w.StartAnew(y.t, i, y.known()...)
	y.hook(i)
	y.note("vm-%d starts anew", i)
}
