package scenario_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"
)

// memberStatus is the status of a stand-in of an upstream.
type memberStatus struct {
	Role     string `json:"role"`
	Term     int    `json:"term"`
	LogTerm  int    `json:"log-term"`
	Received int    `json:"received"`
	// Owner is the VM that owns the database.
	Owner       string `json:"holder"`
	Connections struct {
		Open       int            `json:"open"`
		Opened     int            `json:"opened"`
		Statements map[string]int `json:"statements"`
	} `json:"connections"`
}

func (w *world) member(name string) (memberStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var s memberStatus
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.controlAddresses[name]+"/status", nil)
	if err != nil {
		return s, err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// statuses returns the statuses of all members that respond.
func (w *world) statuses() map[string]memberStatus {
	all := map[string]memberStatus{}
	for name := range w.controlAddresses {
		if !strings.HasPrefix(name, "u") {
			continue
		}
		if s, err := w.member(name); err == nil {
			all[name] = s
		}
	}
	return all
}

// primary returns the primary of the highest term.
func (w *world) primary() string {
	best, term := "", 0
	for name, s := range w.statuses() {
		if s.Role == "primary" && s.Term > term {
			best, term = name, s.Term
		}
	}
	return best
}

// awaitConverged waits until all members are in the latest term and have the
// primary's log, and returns the primary.
func (w *world) awaitConverged(tb testing.TB) string {
	tb.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		primary, all := w.primary(), w.statuses()
		converged := primary != "" && len(all) == len(w.upstreamAddresses)
		for _, s := range all {
			converged = converged && s.Term == all[primary].Term && s.LogTerm == s.Term && s.Received == all[primary].Received
		}
		if converged {
			return primary
		}
	}
	tb.Fatalf("the members do not converge: %+v", w.statuses())
	return ""
}
