package session

import (
	"context"
	"errors"

	"github.com/chervilladder/chervilladder"
)

// admit takes an operation, an autocommit statement or a whole transaction, from the quota
// of the session's client account. Forwarded work was admitted by the VM that its caller is
// connected to.
func (s *session) admit(ctx context.Context) error {
	if s.m.c.Admitter == nil || s.identity.Account == "" || s.fromPeer {
		return nil
	}
	err := s.m.c.Admitter.Admit(ctx, s.identity.Account)
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) {
		notRun.Database = s.db
	}
	return err
}
