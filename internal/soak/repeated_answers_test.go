package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// The faults of upstreams that answer twice, as on the users' platform.
const (
	repeatedShare = 1.0 / 12
	maxRepeatTime = 200 * time.Millisecond
	// repeatTime is how long the upstreams repeat answers.
	repeatTime = 20 * time.Second
	// servedShare is the least share of the operations to serve meanwhile.
	servedShare = 0.8
)

// Upstreams answer one command in twelve a second time, late; nobody may get the answer to
// another statement, and most statements must still be served.
func TestSoakRepeatedAnswers(t *testing.T) {
	soakRepeatedAnswers(t, scale{vms: 3, connections: ampleConnections})
}

// The same with VMs that forward their work to those that hold all connections.
func TestSoakRepeatedAnswersToForwardedWork(t *testing.T) {
	soakRepeatedAnswers(t, scale{vms: 5, connections: 7})
}

func soakRepeatedAnswers(t *testing.T, s scale) {
	s.inject, s.minServed = repeatAnswers, servedShare
	for _, r := range seedsToRun(nil) {
		r.faultTime = repeatTime
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) { soak(t, r, s) })
	}
}

// repeatAnswers has all members repeat answers until the end of the run.
func repeatAnswers(w *world) {
	if len(w.events) > 0 {
		return
	}
	w.recordFault(repeatTime, "all members repeat answers")
	for i := range membersPerService {
		w.cluster.Set(memberID(i), func(f *cluster.Faults) {
			f.Repeat = cluster.RandomRepeats(cluster.RandomRepeatsConfig{Seed: w.rng.Uint64(), Share: repeatedShare, MaxDelay: maxRepeatTime})
		})
	}
}

// checkServed logs how many statements that succeeded got the answer to another one, and
// returns a violation if too few operations succeeded.
func checkServed(t *testing.T, attempts []attempt, least float64) []string {
	t.Helper()
	mixed, succeeded, served := 0, 0, 0
	for _, a := range attempts {
		if a.code == "ok" {
			served++
		}
		succeeded += len(a.answers)
		for id, got := range a.answers {
			if !got.belongsTo(id) {
				mixed++
			}
		}
	}
	t.Logf("%d of %d statements that succeeded got the answer to another one; %d of %d operations succeeded", mixed, succeeded, served, len(attempts))
	if float64(served) < least*float64(len(attempts)) {
		return []string{fmt.Sprintf("SERVED: only %d of %d operations succeeded", served, len(attempts))}
	}
	return nil
}
