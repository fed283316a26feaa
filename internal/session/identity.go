package session

import "github.com/chervilladder/chervilladder"

// deniedText is the explanation to a caller whose key is no longer valid.
const deniedText = "no client account holds the key; nothing was run"

// authenticate sets the session's identity by the configuration in force. Its error is a
// *chervilladder.DeniedError.
func (s *session) authenticate(r chervilladder.Route) error {
	by := s.m.c.Board.Routing.Load()
	identity := chervilladder.Identity{Name: string(s.key)}
	if a := s.m.c.Authenticator; a != nil {
		var err error
		if identity, err = a.Authenticate(r, s.key); err != nil {
			return err
		}
	}
	s.identity, s.authenticatedBy = identity, by
	return nil
}

// refreshIdentity authenticates again if the configuration has changed: the key may have
// been withdrawn, or given to another account. For forwarded work, the VM that forwards it
// does this. Its error is a *chervilladder.DeniedError.
func (s *session) refreshIdentity() error {
	if s.fromPeer || s.m.c.Board.Routing.Load() == s.authenticatedBy {
		return nil
	}
	route, err := s.route()
	if err != nil {
		return nil // the command is refused for the missing route
	}
	return s.authenticate(route)
}

// countedAccount returns the account to count the session's commands by. Forwarded work is
// counted by the VM that forwards it.
func (s *session) countedAccount() chervilladder.AccountID {
	if s.fromPeer {
		return ""
	}
	return s.identity.Account
}
