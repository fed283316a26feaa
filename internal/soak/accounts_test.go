package soak_test

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/environment"
)

const (
	// accountTime is how long faults are injected while callers belong to accounts.
	accountTime = 10 * time.Second
	// withdrawnCaller is the caller whose key is withdrawn, and withdrawnWithin the time
	// after which none of its commands may start to run, also at VMs that have started
	// since.
	withdrawnCaller = 0
	withdrawnWithin = 5 * time.Second
)

// TestSoakAccounts has callers of several accounts and withdraws a key while VMs are
// killed and stopped and members fail.
func TestSoakAccounts(t *testing.T) {
	soakAccounts(t, scale{vms: 3, connections: ampleConnections, accounts: 5})
}

// The same with VMs that forward their work to those that hold all connections, and with
// more accounts than these hold connections.
func TestSoakAccountsOfForwardedWork(t *testing.T) {
	soakAccounts(t, scale{vms: 5, connections: 7, accounts: 5})
}

func soakAccounts(t *testing.T, s scale) {
	s.inject = (*world).injectWithAccounts
	for _, r := range seedsToRun(nil) {
		r.faultTime = accountTime
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) { soak(t, r, s) })
	}
}

// keyOf returns the key of a caller, and accountOf the name of its account.
func keyOf(caller int) string { return fmt.Sprintf("c%d", caller) }

func (s scale) accountOf(caller int) string { return fmt.Sprintf("account-%d", caller%s.accounts) }

// accounts returns the accounts with the keys of all callers but the given ones.
func accounts(s scale, withdrawn ...int) []environment.Account {
	list := make([]environment.Account, s.accounts)
	for caller := range 1000 {
		if s.accounts == 0 || slices.Contains(withdrawn, caller) {
			continue
		}
		a := &list[caller%s.accounts]
		a.Name = s.accountOf(caller)
		a.Keys = append(a.Keys, keyOf(caller))
	}
	return list
}

// injectWithAccounts injects a fault under which a new configuration is in force in time,
// after it has withdrawn a key in the first round.
func (w *world) injectWithAccounts() {
	if w.withdrawnAt.IsZero() {
		if err := w.env.SetAccounts(accounts(w.scale, withdrawnCaller)); err != nil {
			w.t.Error(err)
		}
		w.withdrawnAt = time.Now()
		w.record("the key of caller %d is withdrawn", withdrawnCaller)
		return
	}
	v, id := w.vms[w.rng.IntN(len(w.vms))], memberID(w.rng.IntN(membersPerService))
	length := w.between(300*time.Millisecond, 2*time.Second)
	switch w.rng.IntN(5) {
	case 0:
		w.recordFault(length, "%s is killed", v.name)
		exited := v.signal(syscall.SIGKILL)
		w.after(length, func() { w.restart(v, exited) })
	case 1:
		w.recordFault(length, "%s is sent SIGTERM", v.name)
		exited := v.signal(syscall.SIGTERM)
		w.after(length, func() { w.restart(v, exited) })
	case 2:
		w.faultMember(id, "down", length, func(f *cluster.Faults) { f.Down = true })
	case 3:
		w.faultMember(id, "losing answers", length, func(f *cluster.Faults) { f.LoseAnswers = 25 })
	default:
		w.faultLink(w.memberProxies[id], string(id), length)
	}
}

// checkAccounts returns a violation for each statement that ran for another account than
// that of its caller, or after its caller's key was withdrawn.
func (w *world) checkAccounts() []string {
	if w.scale.accounts == 0 {
		return nil
	}
	var violations []string
	ran := 0
	for _, k := range w.clusters {
		for _, r := range k.Executions() {
			var caller, serial int
			if _, err := fmt.Sscanf(string(r.Command.ID), "c%d-%d", &caller, &serial); err != nil {
				continue // a command of a VM
			}
			ran++
			if want := w.scale.accountOf(caller); r.Peer != want {
				violations = append(violations, fmt.Sprintf("ACCOUNT: %s ran for %q, not %q", r.Command.ID, r.Peer, want))
			}
			if caller == withdrawnCaller && r.At.After(w.withdrawnAt.Add(withdrawnWithin)) {
				violations = append(violations, fmt.Sprintf("DENIED: %s ran %s after its key was withdrawn", r.Command.ID, r.At.Sub(w.withdrawnAt)))
			}
		}
	}
	if ran == 0 {
		violations = append(violations, "no statement ran")
	}
	return violations
}
