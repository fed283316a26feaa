package hosting_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/hosting"
)

const service = chervilladder.ServiceID("s")

func members(n int) blackboard.Membership {
	m := blackboard.Membership{Members: make(map[chervilladder.VMID]blackboard.Member)}
	for i := range n {
		id := chervilladder.VMID(fmt.Sprint("vm-", i))
		m.Members[id] = blackboard.Member{VM: chervilladder.VM{ID: id}}
	}
	return m
}

func bubble(t *testing.T, self chervilladder.VMID, f func(is *is.I, b *blackboard.Board)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := blackboard.New(chervilladder.VM{ID: self})
		b.Hosting.Store(blackboard.Hosting{HostsUnknown: true})
		b.Routing.Store(&chervilladder.Routing{Services: map[chervilladder.ServiceID]chervilladder.ServiceLimits{service: {ID: service, MaxConnections: 22}}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		k, err := hosting.New(hosting.Config{Board: b, Log: log, Clock: time.Now})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		f(is, b)
		stop()
		is.NoErr(<-ended)
	})
}

func TestFewVMsHostAllServices(t *testing.T) {
	bubble(t, "vm-x", func(is *is.I, b *blackboard.Board) {
		b.Members.Store(members(4))
		synctest.Wait()
		is.True(b.Hosting.Load().Here(service))
	})
}

func TestManyVMsForwardWorkToHosts(t *testing.T) {
	bubble(t, "vm-x", func(is *is.I, b *blackboard.Board) {
		is.True(!b.Hosting.Load().Here(service)) // nothing is hosted before the VMs are known
		b.Members.Store(members(99))
		synctest.Wait()
		h := b.Hosting.Load()
		is.True(!h.Here(service))
		is.Equal(h.Elsewhere[service].FirstCount, 3)
		is.Equal(len(h.Elsewhere[service].VMs), 6)

		// A VM hosts a service for as long as a peer requests it.
		b.ForwardedAt.Store(map[chervilladder.ServiceID]time.Time{service: time.Now()})
		synctest.Wait()
		is.True(b.Hosting.Load().Here(service))
		time.Sleep(20 * time.Second)
		is.True(!b.Hosting.Load().Here(service))
		b.Members.Store(members(9))
		synctest.Wait()
		is.True(b.Hosting.Load().Here(service))
	})
}

func TestVMThatKnowsNoOthersHosts(t *testing.T) {
	bubble(t, "vm-x", func(is *is.I, b *blackboard.Board) {
		time.Sleep(1500 * time.Millisecond)
		is.True(b.Hosting.Load().Here(service))
	})
}
