package capacity_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
	"github.com/chervilladder/chervilladder/platform"

	standin "github.com/chervilladder/chervilladder/internal/standin/platform"
)

// fleetVMs is the number of VMs at the design size.
const fleetVMs = 1300

// servePlatform runs a platform whose list has a number of VMs.
func servePlatform(vms int) (childInfo, error) {
	var list []standin.VM
	for n := range vms {
		list = append(list, standin.VM{
			ID:         chervilladder.VMID(fmt.Sprintf("entry-%04d", n)),
			DataCentre: chervilladder.DataCentreID(fmt.Sprintf("cr-central-%d", n%9)),
			Peer:       chervilladder.Address(fmt.Sprintf("10.%d.%d.17:7401", n/256, n%256)),
			State:      standin.StateLive,
		})
	}
	p, err := standin.New(standin.Config{VMs: list, Log: discardLogger()})
	if err != nil {
		return childInfo{}, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return childInfo{}, err
	}
	go func() { _ = p.Serve(context.Background(), l) }()
	return childInfo{Address: chervilladder.Address(l.Addr().String())}, nil
}

func newPlatform(b *testing.B, a chervilladder.Address) *platform.Client {
	b.Helper()
	c, err := platform.NewClient(platform.ClientConfig{Store: a})
	check(b, err)
	return c
}

// BenchmarkVMList measures reading the platform's list of VMs.
func BenchmarkVMList(b *testing.B) {
	c := newPlatform(b, startChild(b, rolePlatform, fleetVMs).Address)
	processor := processorTime()
	for b.Loop() {
		_, err := c.VMs(b.Context())
		check(b, err)
	}
	b.ReportMetric(float64((processorTime()-processor).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(c.Stats().BytesIn)/float64(b.N), "B-received/op")
}

// BenchmarkPublishedChange measures what a change of one service among all costs a
// VM that watches the platform itself, and what reading the configuration costs
// at start.
func BenchmarkPublishedChange(b *testing.B) {
	a := startChild(b, rolePlatform, 1).Address
	p, err := publish.New(publish.Config{Platform: newPlatform(b, a), Operator: "operator"})
	check(b, err)
	var files []servicefile.File
	for n := range fleetServices {
		files = append(files, serviceFile(b, n, 3))
	}
	_, err = p.Publish(b.Context(), publish.Change{Files: files})
	check(b, err)
	c := newPlatform(b, a)
	have, err := publish.Refresh(b.Context(), c, publish.Bundle{})
	check(b, err)
	start := c.Stats()
	var version chervilladder.Version
	n := 0
	for b.Loop() {
		n++
		_, err := p.Publish(b.Context(), publish.Change{Files: []servicefile.File{serviceFile(b, 7, 3+n%2)}})
		check(b, err)
		changed, err := c.Watch(b.Context(), chervilladder.KindIndex, version)
		check(b, err)
		version = changed[0].Version
		have, err = publish.Refresh(b.Context(), c, have)
		check(b, err)
	}
	now := c.Stats()
	b.ReportMetric(float64(start.Gets), "start-reads")
	b.ReportMetric(float64(start.BytesIn), "start-B")
	b.ReportMetric(float64(now.BytesIn-start.BytesIn)/float64(n), "B-received/change")
	b.ReportMetric(float64(now.Gets+now.Watches-start.Gets)/float64(n), "calls/change")
}
