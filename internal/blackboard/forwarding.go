package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// ForwardTarget is what this VM knows of another VM as a target of forwarded work.
// Written by the path of a request and, with the results of its probes, by
// control/forwarding. All times are of the VM's own clock.
type ForwardTarget struct {
	// FailedAt is when the VM last failed to answer. AnsweredAt is when it was found to
	// answer again.
	FailedAt, AnsweredAt LatestTime
	// DrainingAt is when it last refused work because it shuts down.
	DrainingAt LatestTime
	// Disconnected is set while attempts to connect to it fail. Written by
	// control/forwarding only.
	Disconnected atomic.Bool
	// Overhead is the time that work forwarded to the VM takes beyond the time in which
	// the VM runs it: that of the network and of VMs that are short of processor time.
	Overhead MeanDuration
}

// Failed records that the VM failed to answer.
func (t *ForwardTarget) Failed(now time.Time) { t.FailedAt.Raise(now) }

// Answered records that the VM answers.
func (t *ForwardTarget) Answered(now time.Time) {
	if t.FailedAt.Load().After(t.AnsweredAt.Load()) {
		t.AnsweredAt.Raise(now)
	}
}

// Failing reports whether the VM has failed to answer since it last answered.
func (t *ForwardTarget) Failing() bool { return t.FailedAt.Load().After(t.AnsweredAt.Load()) }

// ServiceHost names a VM that runs the work of a service.
type ServiceHost struct {
	VM      chervilladder.VMID
	Service chervilladder.ServiceID
}

// HostState is what this VM knows of a service at one of its hosts, from the answers to
// forwarded work and from probes. Written like ForwardTarget.
type HostState struct {
	// NoPrimaryAt is when the host last reported that it doesn't reach the primary.
	// ReachedAt is when it reported that it reaches it again.
	NoPrimaryAt, ReachedAt LatestTime
	// sentAt is when work that needs the primary was sent to the host for the first time
	// since it last served such work, at servedAt; both in nanoseconds since 1970.
	sentAt, servedAt atomic.Int64

	waits [chervilladder.PriorityCount][accessCount]ReportedWait
}

// accessCount is the number of values of chervilladder.Access.
const accessCount = 2

// Wait returns the expected wait for a slot that the host last reported for work of a
// priority and an access.
func (s *HostState) Wait(p chervilladder.Priority, a chervilladder.Access) *ReportedWait {
	return &s.waits[min(int(p), chervilladder.PriorityCount-1)][min(int(a), accessCount-1)]
}

// ReportPrimary records whether the host reaches the primary.
func (s *HostState) ReportPrimary(reached bool, now time.Time) {
	switch {
	case !reached:
		s.NoPrimaryAt.Raise(now)
	case s.NoPrimary():
		s.ReachedAt.Raise(now)
	}
}

// NoPrimary reports whether the host's last report was that it doesn't reach the primary.
func (s *HostState) NoPrimary() bool { return s.NoPrimaryAt.Load().After(s.ReachedAt.Load()) }

// Sent records that work which needs the primary is sent to the host. Earlier unserved
// work is forgotten once it is older than the duration counts.
func (s *HostState) Sent(now time.Time, counts time.Duration) {
	sent, served, at := s.sentAt.Load(), s.servedAt.Load(), now.UnixNano()
	if sent <= served || at-sent > int64(counts) {
		s.sentAt.Store(max(at, served+1))
	}
}

// Served records that the host has served such work.
func (s *HostState) Served(now time.Time) { s.servedAt.Store(now.UnixNano()) }

// SilentFor returns the time since unserved work that needs the primary was first sent to
// the host; zero if there is none.
func (s *HostState) SilentFor(now time.Time) time.Duration {
	if sent := s.sentAt.Load(); sent > s.servedAt.Load() {
		return time.Duration(now.UnixNano() - sent)
	}
	return 0
}

// ReportedWait is an expected wait and when it was reported.
type ReportedWait struct{ wait, at atomic.Int64 }

// Store replaces the wait. A reader may see the wait with the time of the one before.
func (r *ReportedWait) Store(wait time.Duration, now time.Time) {
	r.wait.Store(int64(wait))
	r.at.Store(now.UnixNano())
}

// Load returns the wait and its age. If none was reported, the age is very long.
func (r *ReportedWait) Load(now time.Time) (wait, age time.Duration) {
	return time.Duration(r.wait.Load()), time.Duration(now.UnixNano() - r.at.Load())
}

// meanWeight is the weight of a new sample in a MeanDuration.
const meanWeight = 8

// MeanDuration is an exponentially weighted moving mean; zero while there is no sample.
type MeanDuration struct{ mean atomic.Int64 }

// Load returns the mean.
func (m *MeanDuration) Load() time.Duration { return time.Duration(m.mean.Load()) }

// Add adds a sample. Of two that are added at the same time, one may be left out.
func (m *MeanDuration) Add(d time.Duration) {
	old := m.mean.Load()
	next := int64(max(d, 1))
	if old != 0 {
		next = max(1, old+(next-old)/meanWeight)
	}
	m.mean.CompareAndSwap(old, next)
}
