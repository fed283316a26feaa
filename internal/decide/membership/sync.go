package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// The times of the exchange of whole lists. A VM that asks one other VM each
// syncPerMember for each member receives less than 4 KB a second, even if no
// two lists agree.
const (
	minSyncEvery  = 5 * time.Second
	syncPerMember = 20 * time.Millisecond
	// answerEvery is the time between two lists that a VM sends.
	answerEvery = 200 * time.Millisecond
	// maxSeeds bounds the addresses that a VM asks at a time when it joins.
	maxSeeds = 3
)

// synchronise asks for whole lists now and then, and looks for VMs that are
// not believed to be alive. A VM that knows no other asks each period.
func (m *Machine) synchronise(now time.Time) {
	if now.Before(m.nextSync) {
		return
	}
	m.forget(now)
	peers := m.choose(1, "")
	if len(peers) == 0 {
		m.join()
		return
	}
	m.nextSync = now.Add(max(minSyncEvery, syncPerMember*time.Duration(len(m.members))))
	m.sync(peers[0].VM.Peer)
	m.seekLost()
}

func (m *Machine) join() {
	seeds := m.unknownSeeds()
	m.config.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, a := range seeds[:min(maxSeeds, len(seeds))] {
		m.sync(a)
	}
	m.seekLost()
}

// seekLost pings one dead member and asks one seed that belongs to no member,
// so that VMs that were cut off find each other again.
func (m *Machine) seekLost() {
	var dead []*member
	for _, x := range m.sorted() {
		if x.Health == chervilladder.HealthDead {
			dead = append(dead, x)
		}
	}
	if len(dead) > 0 {
		m.ping(dead[m.config.Random.IntN(len(dead))], m.nextSequence())
	}
	if seeds := m.unknownSeeds(); len(seeds) > 0 {
		m.sync(seeds[m.config.Random.IntN(len(seeds))])
	}
}

// unknownSeeds returns the seeds that are not the address of a living member.
func (m *Machine) unknownSeeds() []chervilladder.Address {
	known := map[chervilladder.Address]bool{m.self.VM.Peer: true}
	for _, x := range m.members {
		if x.Health != chervilladder.HealthDead {
			known[x.VM.Peer] = true
		}
	}
	var list []chervilladder.Address
	for _, a := range m.seeds {
		if !known[a] {
			list = append(list, a)
		}
	}
	return list
}

// sync asks for a list of members. It introduces this VM by the way.
func (m *Machine) sync(to chervilladder.Address) {
	m.post(to, chervilladder.Sync{Digest: m.digest()}, []chervilladder.MemberUpdate{m.self})
}

// answerSync sends the members that are not dead, unless the asker's list is
// the same.
func (m *Machine) answerSync(to chervilladder.Address, s chervilladder.Sync, now time.Time) {
	if s.Digest == m.digest() || now.Before(m.nextAnswer) {
		return
	}
	m.nextAnswer = now.Add(answerEvery)
	updates := []chervilladder.MemberUpdate{m.self}
	for _, x := range m.sorted() {
		if x.Health != chervilladder.HealthDead {
			updates = append(updates, x.MemberUpdate)
		}
	}
	for part := range slices.Chunk(updates, maxUpdates) {
		m.post(to, chervilladder.MemberList{}, part)
	}
}

// digest is the same for two VMs that know the same members. Suspicions don't
// change it, since they are short.
func (m *Machine) digest() uint64 {
	sum := digestOf(m.self)
	for _, x := range m.members {
		if x.Health != chervilladder.HealthDead {
			sum ^= digestOf(x.MemberUpdate)
		}
	}
	return sum
}

func digestOf(u chervilladder.MemberUpdate) uint64 {
	h := xxhash.Sum64String(string(u.VM.ID))
	h = h*31 + uint64(u.Incarnation)
	if u.VM.Leaving {
		h = ^h
	}
	// The product spreads each input over all bits before the digests are
	// added without carry.
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// choose returns up to n members at random that are alive and not one given.
func (m *Machine) choose(n int, not chervilladder.VMID) []*member {
	var list []*member
	for _, x := range m.sorted() {
		if x.Health == chervilladder.HealthAlive && x.VM.ID != not {
			list = append(list, x)
		}
	}
	m.config.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// sorted returns the members in the order of their ids, so that a run depends
// on its seed only.
func (m *Machine) sorted() []*member {
	list := make([]*member, 0, len(m.members))
	for _, x := range m.members {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return list
}
