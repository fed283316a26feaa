package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxUpdates bounds the number of updates per message, so that a message fits into
// one packet on every path.
const maxUpdates = 10

// pendingUpdates holds the updates that still have to be sent to others.
type pendingUpdates map[chervilladder.VMID]*pendingUpdate

type pendingUpdate struct {
	update chervilladder.MemberUpdate
	sent   int
}

// add adds an update, or replaces an older one about the same VM.
func (p pendingUpdates) add(u chervilladder.MemberUpdate) {
	p[u.VM.ID] = &pendingUpdate{update: u}
}

// next returns the n updates that were sent least often, and drops those that were
// now sent as often as limit.
func (p pendingUpdates) next(n, limit int) []chervilladder.MemberUpdate {
	if len(p) == 0 || n <= 0 {
		return nil
	}
	list := make([]*pendingUpdate, 0, len(p))
	for _, x := range p {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *pendingUpdate) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.VM.ID, b.update.VM.ID))
	})
	list = list[:min(n, len(list))]
	updates := make([]chervilladder.MemberUpdate, 0, len(list))
	for _, x := range list {
		updates = append(updates, x.update)
		x.sent++
		if x.sent >= limit {
			delete(p, x.update.VM.ID)
		}
	}
	return updates
}

// sendFactor times disseminationPeriods is how often this VM sends an update.
const sendFactor = 2

// send queues a message with the given updates and, as far as there is room, with
// pending ones.
func (m *StateMachine) send(to chervilladder.Address, body chervilladder.GossipBody, first ...chervilladder.MemberUpdate) {
	updates := append(first, m.pending.next(maxUpdates-len(first), sendFactor*m.disseminationPeriods())...)
	m.post(to, body, updates)
}

// post queues a message with exactly the given updates.
func (m *StateMachine) post(to chervilladder.Address, body chervilladder.GossipBody, updates []chervilladder.MemberUpdate) {
	age := time.Duration(-1)
	if !m.confirmed.IsZero() {
		age = time.Since(m.confirmed)
	}
	m.outgoing = append(m.outgoing, Envelope{To: to, Message: chervilladder.GossipMessage{
		From:         m.self.VM.ID,
		Revision:     m.revision,
		ConfirmedAge: age,
		Updates:      updates,
		Body:         body,
	}})
}
