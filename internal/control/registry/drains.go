package registry

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// departedMemory is how long a draining upstream that has left is remembered: after the
// store has come back from an older copy its entry may be there again.
const departedMemory = time.Minute

// departedUpstream is a draining upstream that has left.
type departedUpstream struct {
	blackboard.KnownUpstream
	at time.Time
}

func (k *Controller) forgetDeparted(now time.Time) {
	maps.DeleteFunc(k.departed, func(_ chervilladder.UpstreamID, d departedUpstream) bool {
		return now.Sub(d.at) >= departedMemory
	})
}

// confirmedAt returns the time at which the store last confirmed a list, to this VM or to a
// peer; zero if the list is not known.
func (k *Controller) confirmedAt(u blackboard.Upstreams) time.Time {
	if !u.Known {
		return time.Time{}
	}
	answered, ofPeer := k.c.Board.UpstreamsAnswered.Load(), k.c.Board.PeerConfirmedAt.Load()
	if ofPeer.After(answered) {
		return ofPeer
	}
	return answered
}

// earliestEvent returns the earliest time at which the events of a watch may have happened.
// The store answers a watch as soon as there is an event, so that is now, unless the answer
// has been on its way for some time.
func (k *Controller) earliestEvent(requestedAt time.Time, wait time.Duration) time.Time {
	now := k.c.Clock()
	if now.Sub(requestedAt) <= wait {
		return now
	}
	return k.confirmedAt(k.c.Board.Upstreams.Load())
}

// withDrain returns an entry with the begin of its drain, if it drains. An upstream that
// has begun to drain ends and doesn't become ready again; an entry that says so is of an
// older copy of the store.
func (k *Controller) withDrain(entry, before blackboard.KnownUpstream, of report, now time.Time) blackboard.KnownUpstream {
	same := !entry.Born.IsZero() && entry.Born.Equal(before.Born)
	entry.Draining = entry.Draining || same && before.Draining
	if !entry.Draining {
		return entry
	}
	if before.Draining && entry.Born.Equal(before.Born) {
		entry.DrainingSince, entry.DrainAssumed = before.DrainingSince, before.DrainAssumed
	}
	if d, ok := of.drains[entry.ID]; ok && d.Born.Equal(entry.Born) && (entry.DrainingSince.IsZero() || entry.DrainAssumed) {
		entry.DrainingSince, entry.DrainAssumed = d.Since, false
	}
	bound := k.c.Board.Bounds.Load().UpstreamDrain
	switch {
	case !entry.DrainingSince.IsZero():
	case !of.earliest.IsZero():
		entry.DrainingSince = of.earliest
	case bound > 0:
		entry.DrainingSince, entry.DrainAssumed = now.Add(-bound), true
	default:
		entry.DrainingSince = now
	}
	return entry
}

// learnDrains replaces what is assumed of drains by what peers know of them.
func (k *Controller) learnDrains(drains map[chervilladder.UpstreamID]blackboard.Drain) {
	u := k.c.Board.Upstreams.Load()
	if u.AskDrainsUntil.IsZero() {
		return
	}
	next := u
	next.ByID = maps.Clone(u.ByID)
	learned := false
	for id, e := range u.ByID {
		d, ok := drains[id]
		if !ok || !e.DrainAssumed || !d.Born.Equal(e.Born) {
			continue
		}
		e.DrainingSince, e.DrainAssumed = d.Since, false
		next.ByID[id] = e
		learned = true
		k.c.Log.WithFields(logrus.Fields{"upstream": id, "service": e.Service, "since": k.c.Clock().Sub(d.Since).String()}).Info("registry: begin of a drain learned from a peer")
	}
	if learned {
		next.AskDrainsUntil = k.askDrainsUntil(next.ByID)
		k.c.Board.Upstreams.Store(next)
	}
}

// askDrainsUntil returns until when it is of use to ask peers for the begin of drains: a
// drain that counts as over since it was first seen is over a whole drain later.
func (k *Controller) askDrainsUntil(byID map[chervilladder.UpstreamID]blackboard.KnownUpstream) time.Time {
	var until time.Time
	for _, e := range byID {
		if !e.DrainAssumed || !e.Primary {
			continue // a replica that drains gets no work anyway
		}
		if over := e.DrainingSince.Add(2 * k.c.Board.Bounds.Load().UpstreamDrain); over.After(until) {
			until = over
		}
	}
	return until
}
