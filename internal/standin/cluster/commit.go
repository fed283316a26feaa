package cluster

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// commit ends the transaction and commits its writes.
func (c *Conn) commit(cmd chervilladder.Command) (chervilladder.Result, error) {
	t := c.tx
	switch {
	case t == nil:
		return c.fail(chervilladder.CodeMalformed, "no transaction is open"), nil
	case t.failed:
		c.tx = nil
		return c.fail(chervilladder.CodeAborted, "rolled back"), nil
	case len(t.writes) > 0 && (!c.m.primary || c.m.term != t.term):
		return c.fail(chervilladder.CodeReadOnly, string(c.m.ID)), nil
	}
	ok, err := c.acquireSlot()
	if err != nil {
		return chervilladder.Result{}, err
	}
	if !ok {
		return chervilladder.Result{Code: chervilladder.CodeBusy, Text: string(c.m.ID)}, nil
	}
	c.recordExecution(cmd, "")
	if err := c.work(); err != nil {
		return chervilladder.Result{}, err
	}
	c.tx = nil
	r := success(c.signature(cmd))
	if len(t.writes) == 0 {
		return r, c.loseAnswer()
	}
	return r, c.append(t.writes, &r)
}

// append adds a commit to the log and returns once it has been confirmed. At a
// replica, it sets r to a rejection instead. The error is ErrBroken if the connection is
// closed, or the answer lost, before the commit was acknowledged.
func (c *Conn) append(writes []chervilladder.Command, r *chervilladder.Result) error {
	m, k := c.m, c.cluster
	if !m.primary {
		*r = c.fail(chervilladder.CodeReadOnly, string(m.ID))
		return nil
	}
	e := Entry{Mark: chervilladder.Mark{Term: m.term, Position: chervilladder.Position(len(m.log) + 1)}, Commands: writes, Acked: new(bool)}
	m.log = append(m.log, e)
	m.arrivals = append(m.arrivals, arrival{})
	k.replicate()
	k.wake()
	for len(k.confirmedBy(m, e)) < k.config.Confirmations {
		if m.term != e.Mark.Term || !m.primary {
			c.closeLocked() // the new primary determines whether the commit survives
		}
		if c.isBroken() || !k.wait(c.broken) || c.isBroken() {
			return ErrBroken
		}
	}
	if err := c.loseAnswer(); err != nil {
		return err
	}
	*e.Acked = true
	k.acks = append(k.acks, Ack{Entry: e, Primary: m.ID, ConfirmedBy: k.confirmedBy(m, e), At: time.Now()})
	if k.hasNewerPrimary(m.term) {
		k.strays = append(k.strays, e)
	}
	r.Mark = e.Mark
	return nil
}

// confirmedBy returns the replicas that have received a commit.
func (k *Cluster) confirmedBy(origin *member, e Entry) []chervilladder.UpstreamID {
	var list []chervilladder.UpstreamID
	for id, m := range k.members {
		if m != origin && !m.primary && m.holds(e) {
			list = append(list, id)
		}
	}
	return list
}
