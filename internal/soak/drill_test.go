package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// TestSoakDrill has the store come back from older copies, beside the usual faults.
func TestSoakDrill(t *testing.T) {
	for _, r := range seedsToRun(drillRegressions) {
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) {
			soak(t, r, scale{vms: 3, connections: ampleConnections, inject: (*world).injectWithDrills})
		})
	}
}

// drillRegressions are the regressions of drills.
var drillRegressions = []seedRun{
	{seed: 32, faultTime: 12 * time.Second}, // an epoch had two holders, as the record was that of the copy
}

// drillAway is how long the store is away before it comes back from a copy.
const drillAway = 700 * time.Millisecond

// injectWithDrills has the store come back from a copy in one of three rounds, and
// injects another fault otherwise. One drill at a time is under way.
func (w *world) injectWithDrills() {
	if w.rng.IntN(3) == 0 && w.drilling.CompareAndSwap(false, true) {
		w.drill(time.Duration(500+w.rng.IntN(3000)) * time.Millisecond)
		return
	}
	w.inject()
}

// drill takes a copy of the store, and has the store come back from it after some time. The
// operator then writes the last configuration again, and the members their entries.
func (w *world) drill(age time.Duration) {
	store := w.env.Platform.Store()
	before := store.Copy()
	w.record("a copy of the platform's store is taken")
	w.after(age, func() {
		w.recordFault(drillAway, "the platform's store goes away, to come back from a copy that is %s old", age)
		w.env.Platform.SetFaults(platform.Faults{Down: true})
		w.after(drillAway, func() {
			store.Restore(before)
			if err := w.env.WriteAgain(); err != nil {
				w.t.Error(err)
			}
			w.env.Platform.SetFaults(platform.Faults{})
			w.drilling.Store(false)
		})
	})
}
