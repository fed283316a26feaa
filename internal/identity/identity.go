// Package identity authenticates callers by the client accounts of the configuration.
package identity

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Metrics counts denied callers.
var Metrics = metrics.NewSet()

var denied = Metrics.NewCounter("chervilladder_callers_denied_total")

// Config configures an Authenticator.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
}

// Authenticator looks callers' keys up in the configuration in force. It implements
// chervilladder.Authenticator.
type Authenticator struct{ c Config }

var _ chervilladder.Authenticator = (*Authenticator)(nil)

// New returns an authenticator.
func New(c Config) (*Authenticator, error) {
	if c.Board == nil || c.Log == nil {
		return nil, errors.New("identity: an authenticator needs Board and Log; set both")
	}
	return &Authenticator{c: c}, nil
}

// Authenticate returns the identity of the caller that presents a key. While there are
// no client accounts and none is required, the key only tells callers apart.
func (a *Authenticator) Authenticate(r chervilladder.Route, k chervilladder.Key) (chervilladder.Identity, error) {
	accounts := a.accounts()
	if accounts == nil && !a.c.Board.Bounds.Load().AccountsRequired {
		return chervilladder.Identity{Name: string(k)}, nil
	}
	if id, ok := accounts.Holder(k); ok {
		return chervilladder.Identity{Account: id, Name: string(id)}, nil
	}
	if r.Open {
		return chervilladder.Identity{}, nil
	}
	denied.Inc()
	a.c.Log.WithField("database", r.Database).Warn("identity: caller denied; no client account holds its key")
	return chervilladder.Identity{}, &chervilladder.DeniedError{Database: r.Database}
}

func (a *Authenticator) accounts() *chervilladder.Accounts {
	if r := a.c.Board.Routing.Load(); r != nil {
		return r.Accounts
	}
	return nil
}
