package capacity_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/platformtest"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// The configuration at the design size.
const (
	fleetServices       = 1150
	databasesPerService = 2
)

// serviceText returns the file of a service with two databases of three
// upstreams and four classes.
func serviceText(service, slots int) string {
	var t bytes.Buffer
	fmt.Fprintf(&t, "{\n  \"service\": \"service-%d\",\n  \"default-class\": \"confirmation\",\n  \"databases\": [\n", service)
	for d := range databasesPerService {
		fmt.Fprintf(&t, "    {\"name\": \"ledger-%d-%d\", \"upstreams\": [\n", service, d)
		for u := range membersPerGroup {
			address := service*databasesPerService*membersPerGroup + d*membersPerGroup + u
			fmt.Fprintf(&t, "      {\"name\": \"ledger-%d-%d-%d\", \"address\": \"10.%d.%d.1:5432\", \"data-centre\": \"cr-central-%d\", \"slots\": %d, \"connections\": 20},\n",
				service, d, u, address/256, address%256, u, slots)
		}
		t.WriteString("    ]},\n")
	}
	t.WriteString("  ],\n  \"classes\": [\n")
	for _, c := range [][2]string{{"confirmation", "urgent"}, {"lookup", "normal"}, {"portal-lookup", "normal"}, {"reports", "background"}} {
		fmt.Fprintf(&t, "    {\"name\": %q, \"priority\": %q, \"target\": \"150ms\", \"deadline\": \"4s\", \"floor-percent\": 10, \"objective-percent\": 99.9},\n", c[0], c[1])
	}
	t.WriteString("  ],\n  \"roles\": {\"clerk\": \"confirmation\", \"portal\": \"portal-lookup\", \"agenda\": \"lookup\", \"reports\": \"reports\"},\n}\n")
	return t.String()
}

func serviceFile(b *testing.B, service, slots int) servicefile.File {
	b.Helper()
	f, err := servicefile.Parse(fmt.Sprintf("service-%d.json", service), []byte(serviceText(service, slots)))
	check(b, err)
	return *f
}

// publishFleet publishes all services, then a change of one, and returns the
// configuration in force after each.
func publishFleet(b *testing.B) (first, second publish.Bundle) {
	b.Helper()
	store := platformtest.New()
	p, err := publish.New(publish.Config{Platform: store, Operator: "operator"})
	check(b, err)
	var files []servicefile.File
	for n := range fleetServices {
		files = append(files, serviceFile(b, n, 3))
	}
	_, err = p.Publish(b.Context(), publish.Change{Files: files})
	check(b, err)
	first, err = publish.Refresh(b.Context(), store, publish.Bundle{})
	check(b, err)
	_, err = p.Publish(b.Context(), publish.Change{Files: []servicefile.File{serviceFile(b, 7, 4)}})
	check(b, err)
	second, err = publish.Refresh(b.Context(), store, first)
	check(b, err)
	index, err := store.Get(b.Context(), chervilladder.KindIndex, publish.IndexName)
	check(b, err)
	b.Logf("index object: %d bytes, one file: %d bytes", len(index.Value), len(serviceText(7, 4)))
	return first, second
}

// BenchmarkConfiguration measures what a change of one service among all costs a
// VM, and what the whole configuration costs.
func BenchmarkConfiguration(b *testing.B) {
	first, second := publishFleet(b)
	whole, err := second.Encode()
	check(b, err)
	delta, err := second.DeltaSince(first).Encode()
	check(b, err)
	decoded, err := publish.DecodeDelta(delta)
	check(b, err)
	steps := []struct {
		name  string
		bytes int
		run   func() error
	}{
		{"encode-whole", len(whole), func() error { _, err := second.Encode(); return err }},
		{"decode-whole", len(whole), func() error { _, err := publish.DecodeBundle(whole); return err }},
		{"encode-delta", len(delta), func() error { _, err := second.DeltaSince(first).Encode(); return err }},
		{"decode-delta", len(delta), func() error { _, err := publish.DecodeDelta(delta); return err }},
		{"apply-delta", len(delta), func() error { _, err := first.Apply(decoded); return err }},
		{"catalogue", len(whole), func() error { _, err := second.Catalogue(); return err }},
	}
	for _, s := range steps {
		b.Run(s.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				check(b, s.run())
			}
			b.ReportMetric(float64(s.bytes), "encoded-B")
		})
	}
}

// BenchmarkConfigurationMemory measures the memory of the configuration in
// force: the bundle, its encoding and the catalogue.
func BenchmarkConfigurationMemory(b *testing.B) {
	const databases = fleetServices * databasesPerService
	_, second := publishFleet(b)
	whole, err := second.Encode()
	check(b, err)
	second = publish.Bundle{}
	for b.Loop() {
		empty := measure().HeapBytes
		bundle, err := publish.DecodeBundle(whole)
		check(b, err)
		withBundle := measure().HeapBytes
		catalogue, err := bundle.Catalogue()
		check(b, err)
		withCatalogue := measure().HeapBytes
		b.ReportMetric(float64(len(whole))/databases, "encoded-B/database")
		b.ReportMetric((float64(withBundle)-float64(empty))/databases, "bundle-B/database")
		b.ReportMetric((float64(withCatalogue)-float64(withBundle))/databases, "catalogue-B/database")
		b.ReportMetric(0, "ns/op")
		runtime.KeepAlive(bundle)
		runtime.KeepAlive(catalogue)
	}
}
