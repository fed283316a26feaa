package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// The intervals and limits of the exchange of full lists of members. A VM requests
// one list every syncIntervalPerMember times the number of members, so it receives
// less than 4 KB a second, even if no two lists agree.
const (
	minSyncInterval       = 5 * time.Second
	syncIntervalPerMember = 20 * time.Millisecond
	// minListInterval is the minimum time between two lists that a VM sends.
	minListInterval = 200 * time.Millisecond
	// maxSeeds bounds the seeds that a joining VM asks per period.
	maxSeeds = 3
)

// synchronise asks a random member for its full list at intervals, and tries to
// reconnect to dead VMs. A VM without another member that is alive asks seeds each
// period.
func (m *StateMachine) synchronise(now time.Time) {
	if now.Before(m.nextSync) {
		return
	}
	m.forgetDead(now)
	peers := m.randomAlive(1, "")
	if len(peers) == 0 {
		m.join()
		return
	}
	m.nextSync = now.Add(max(minSyncInterval, syncIntervalPerMember*time.Duration(len(m.members))))
	m.sync(peers[0].VM.Peer)
	m.reconnect()
}

func (m *StateMachine) join() {
	seeds := m.unknownSeeds()
	m.config.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, a := range seeds[:min(maxSeeds, len(seeds))] {
		m.sync(a)
	}
	m.reconnect()
}

// reconnect pings one dead member and asks one seed that is not the address of a known
// VM, so that the sides of a partition find each other again.
func (m *StateMachine) reconnect() {
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

// unknownSeeds returns the seeds that are not the address of this VM or of a member
// that is not dead.
func (m *StateMachine) unknownSeeds() []chervilladder.Address {
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

// sync asks for a list of members. The request also announces this VM.
func (m *StateMachine) sync(to chervilladder.Address) {
	m.post(to, chervilladder.Sync{Digest: m.digest()}, []chervilladder.MemberUpdate{m.self})
}

// answerSync sends the members that are not dead. It sends nothing if the digest shows
// that the requester's list is the same, or if this VM sent a list to any VM within
// minListInterval.
func (m *StateMachine) answerSync(to chervilladder.Address, s chervilladder.Sync, now time.Time) {
	if s.Digest == m.digest() || now.Before(m.nextListAnswer) {
		return
	}
	m.nextListAnswer = now.Add(minListInterval)
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

// digest returns a hash that is the same for two VMs with the same members. Suspicions
// don't change it, since they are short-lived.
func (m *StateMachine) digest() uint64 {
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
	// The multiplication spreads each input over all bits before the digests are
	// combined by XOR.
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// randomAlive returns up to n random members that are alive, without the one given.
func (m *StateMachine) randomAlive(n int, except chervilladder.VMID) []*member {
	var list []*member
	for _, x := range m.sorted() {
		if x.Health == chervilladder.HealthAlive && x.VM.ID != except {
			list = append(list, x)
		}
	}
	m.config.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// sorted returns the members ordered by id, so that random choices depend only on the
// seed.
func (m *StateMachine) sorted() []*member {
	list := make([]*member, 0, len(m.members))
	for _, x := range m.members {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return list
}
