package wire

import (
	"errors"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// transaction returns the open transaction, and begins one if there is none.
func (c *session) transaction() *engine.Txn {
	if t := c.txn.Load(); t != nil {
		return t
	}
	readOnly, _ := c.settings.get("default_transaction_read_only")
	t := c.server.db.Begin(readOnly == "on")
	c.settings.begin()
	c.txn.Store(t)
	if cause := c.ending.Load(); cause != nil {
		t.Abort(cause)
	}
	return t
}

// runTransactionControl runs a statement that controls the transaction. It
// returns the command tag.
func (c *session) runTransactionControl(s sql.Statement) (string, error) {
	switch s := s.(type) {
	case *sql.Begin:
		t := c.transaction()
		if s.ReadOnly {
			t.SetReadOnly(true)
		}
		c.block = true
		if s.Start {
			return "START TRANSACTION", nil
		}
		return "BEGIN", nil
	case *sql.Commit:
		if c.failed {
			c.rollback()
			return "ROLLBACK", nil
		}
		return "COMMIT", c.commit()
	case *sql.Rollback:
		if s.Savepoint != "" {
			return "ROLLBACK", c.rollbackTo(s.Savepoint)
		}
		c.rollback()
		return "ROLLBACK", nil
	case *sql.Savepoint:
		if !c.block {
			return "", pgerror.New(pgerror.NoTransaction, "SAVEPOINT can only be used in transaction blocks")
		}
		c.transaction().Save(s.Name)
		return "SAVEPOINT", nil
	case *sql.Release:
		return "RELEASE", c.transaction().Release(s.Name)
	default:
		return "", pgerror.New(pgerror.FeatureUnsupported, "%s is not supported", s.Class())
	}
}

func (c *session) rollbackTo(name string) error {
	if err := c.transaction().RollbackTo(name); err != nil {
		return err
	}
	c.failed = false
	return nil
}

// commit commits the transaction and ends its block.
func (c *session) commit() error {
	t := c.txn.Load()
	c.clearTransaction()
	if t == nil {
		return nil
	}
	// A frozen member commits nothing. AwaitUnblocked fails only when the
	// session ends, and then the transaction has been aborted.
	_ = c.server.board.AwaitUnblocked(c.ctx, func(f state.Faults) bool { return f.Freeze })
	wrote := t.Wrote()
	err := t.Commit(func(commit func(chervilladder.Term) error) error {
		return c.server.keeper.Commit(c.boundClaim(), commit)
	})
	c.settings.finish(err == nil)
	c.wrote = c.wrote || err == nil && wrote
	return err
}

// rollback rolls the transaction back and ends its block.
func (c *session) rollback() {
	t := c.txn.Load()
	c.clearTransaction()
	if t != nil {
		t.Rollback()
		c.settings.finish(false)
	}
}

// clearTransaction resets the session's state of the transaction and its block.
func (c *session) clearTransaction() {
	c.txn.Store(nil)
	c.block, c.failed = false, false
	clear(c.portals)
}

// failTransaction handles the transaction after an error. Outside a block it is
// rolled back; within one it is marked as failed, and the caller has to roll
// back.
func (c *session) failTransaction() {
	if c.block {
		c.failed = true
		return
	}
	c.rollback()
}

// finishImplicit commits the transaction unless BEGIN has opened it.
func (c *session) finishImplicit() error {
	if c.block {
		return nil
	}
	return c.commit()
}

// checkNotFailed returns an error when the transaction has failed and the
// statement can't be executed in a failed transaction.
func (c *session) checkNotFailed(s sql.Statement) error {
	if !c.failed {
		return nil
	}
	switch s := s.(type) {
	case *sql.Commit, *sql.Rollback:
		return nil
	case *sql.Select:
		if groupCall(s) == nil {
			return errTxnFailed
		}
		return nil
	default:
		return errTxnFailed
	}
}

// errTxnFailed is returned for statements in a failed transaction.
var errTxnFailed = pgerror.New(pgerror.FailedTransaction,
	"current transaction is aborted, commands ignored until end of transaction block")

// asError converts an error to one that the protocol can carry.
func asError(err error) *pgerror.Error {
	var own *pgerror.Error
	if errors.As(err, &own) {
		return own
	}
	var syntax *sql.SyntaxError
	if errors.As(err, &syntax) {
		e := pgerror.New(pgerror.Syntax, "%s", err.Error())
		e.Position = int32(syntax.Offset) + 1
		return e
	}
	var multiple *sql.MultipleStatementsError
	if errors.As(err, &multiple) {
		return pgerror.New(pgerror.Syntax, "%s", err.Error())
	}
	return pgerror.New(pgerror.Internal, "%v", err)
}
