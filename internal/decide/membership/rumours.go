package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxUpdates bounds the updates that one message carries, so that it fits
// into one packet on every path.
const maxUpdates = 10

// rumours holds the updates that are still to be passed on.
type rumours map[chervilladder.VMID]*rumour

type rumour struct {
	update chervilladder.MemberUpdate
	sent   int
}

// add puts an update in the place of an older one of the same VM.
func (r rumours) add(u chervilladder.MemberUpdate) {
	r[u.VM.ID] = &rumour{update: u}
}

// next returns the updates that were sent least often, and drops those that
// were sent often enough.
func (r rumours) next(n, limit int) []chervilladder.MemberUpdate {
	if len(r) == 0 || n <= 0 {
		return nil
	}
	list := make([]*rumour, 0, len(r))
	for _, x := range r {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.VM.ID, b.update.VM.ID))
	})
	list = list[:min(n, len(list))]
	updates := make([]chervilladder.MemberUpdate, 0, len(list))
	for _, x := range list {
		updates = append(updates, x.update)
		x.sent++
		if x.sent >= limit {
			delete(r, x.update.VM.ID)
		}
	}
	return updates
}

// retransmits is how often an update is sent, in units of the number of
// periods in which all hear of it.
const retransmits = 2

// send sends a body with the given updates and with rumours.
func (m *Machine) send(to chervilladder.Address, body chervilladder.GossipBody, first ...chervilladder.MemberUpdate) {
	updates := append(first, m.rumours.next(maxUpdates-len(first), retransmits*m.spread())...)
	m.post(to, body, updates)
}

func (m *Machine) post(to chervilladder.Address, body chervilladder.GossipBody, updates []chervilladder.MemberUpdate) {
	age := time.Duration(-1)
	if !m.confirmed.IsZero() {
		age = time.Since(m.confirmed)
	}
	m.out = append(m.out, Envelope{To: to, Message: chervilladder.GossipMessage{
		From:      m.self.VM.ID,
		Revision:  m.revision,
		Confirmed: age,
		Updates:   updates,
		Body:      body,
	}})
}
