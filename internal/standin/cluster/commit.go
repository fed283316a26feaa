package cluster

import (
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
	for !k.confirmed(m, e) {
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
	r.Mark = e.Mark
	return nil
}

// confirmed reports whether enough replicas have received a commit.
func (k *Cluster) confirmed(origin *member, e Entry) bool {
	n := 0
	for _, m := range k.members {
		i := int(e.Mark.Position)
		if m != origin && !m.primary && len(m.log) >= i && m.log[i-1].Mark == e.Mark {
			n++
		}
	}
	return n >= k.config.Confirmations
}
