// Package prepared is a stand-in of the whole environment on loopback addresses: the
// platform's store and promotions, and services whose members register themselves.
package prepared

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/lineserver"
	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// Config configures a World.
type Config struct {
	// Services are the replicated services. Members listen on their addresses;
	// a member in Announce is registered with the address given there instead.
	Services []cluster.Config
	Announce map[chervilladder.UpstreamID]chervilladder.Address
	// Listeners are the listeners of members that listen already.
	Listeners map[chervilladder.UpstreamID]net.Listener
	// Routes is the initial configuration.
	Routes []Route
	Log    logrus.FieldLogger
}

// Route is a route of the operators' configuration.
type Route struct {
	Host         string `json:"host"`
	Type         string `json:"route_type"`
	Service      string `json:"service"`
	TimeoutMS    int    `json:"timeout_ms"`
	TargetMS     int    `json:"target_latency_ms"`
	Priority     int    `json:"priority"`
	MaxAttempts  int    `json:"max_attempts"`
	MaxStaleness int    `json:"max_staleness_ms"`
}

// World is the platform with its services.
type World struct {
	Platform *platform.Platform
	Clusters map[chervilladder.ServiceID]*cluster.Cluster
	c        Config
	store    *platform.Store

	mu       sync.Mutex
	draining map[chervilladder.UpstreamID]bool
	version  int
}

// New returns a world and writes the initial configuration.
func New(c Config) (*World, error) {
	w := &World{c: c, Clusters: make(map[chervilladder.ServiceID]*cluster.Cluster), draining: make(map[chervilladder.UpstreamID]bool)}
	for _, s := range c.Services {
		k, err := cluster.New(s)
		if err != nil {
			return nil, err
		}
		w.Clusters[s.Service] = k
	}
	p, err := platform.New(platform.Config{Promoter: w, Log: c.Log})
	if err != nil {
		return nil, err
	}
	w.Platform, w.store = p, p.Store()
	return w, w.Configure(c.Routes)
}

// Promote carries out a promotion.
func (w *World) Promote(service chervilladder.ServiceID, id chervilladder.UpstreamID, holder chervilladder.VMID, epoch chervilladder.Epoch) error {
	k, ok := w.Clusters[service]
	if !ok {
		return &chervilladder.PromotionRefusedError{Upstream: id}
	}
	return k.Promote(holder, epoch, id)
}

// Configure writes a new configuration.
func (w *World) Configure(routes []Route) error {
	type service struct {
		Name         chervilladder.ServiceID `json:"name"`
		MaxConns     int                     `json:"max_conns"`
		SyncReplicas int                     `json:"sync_replicas"`
	}
	var services []service
	for _, s := range w.c.Services {
		services = append(services, service{s.Service, s.Connections, s.Confirmations})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	spec, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services, "limits": map[string]int{"tx_idle_ms": 3000},
	})
	if err != nil {
		return err
	}
	return w.put("config", "main", spec)
}

// put writes an object unconditionally.
func (w *World) put(kind chervilladder.ObjectKind, name chervilladder.ObjectName, spec []byte) error {
	for {
		o, _ := w.store.Get(kind, name)
		_, err := w.store.Put(kind, name, spec, o.Version)
		var mismatch *platform.MismatchError
		if !errors.As(err, &mismatch) {
			return err
		}
	}
}

// Drain makes a member register itself as draining.
func (w *World) Drain(id chervilladder.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining[id] = true
}

// heartbeat is the interval at which members write their entries. An entry is
// removed after missedHeartbeats missed writes.
const (
	heartbeat        = 500 * time.Millisecond
	missedHeartbeats = 3
)

// removeEntry removes the entry of a member that is down.
func (w *World) removeEntry(id chervilladder.UpstreamID) {
	name := chervilladder.ObjectName(id)
	if o, ok := w.store.Get("servers", name); ok {
		if _, err := w.store.Delete("servers", name, o.Version); err != nil {
			w.c.Log.WithError(err).Info("prepared: the entry of a member that is down changed and was not removed")
		}
	}
}

// Serve serves the store and all members until the context ends.
func (w *World) Serve(ctx context.Context, store net.Listener) error {
	parts, ctx := errgroup.WithContext(ctx)
	parts.Go(func() error { return w.Platform.Serve(ctx, store) })
	for _, s := range w.c.Services {
		for _, m := range s.Members {
			l, ok := w.c.Listeners[m.ID]
			if !ok {
				var err error
				if l, err = net.Listen("tcp", string(m.Address)); err != nil {
					return fmt.Errorf("member %s: %w", m.ID, err)
				}
			}
			parts.Go(func() error { return lineserver.Serve(ctx, l, w.Clusters[s.Service], m.ID) })
			parts.Go(func() error { return w.register(ctx, m) })
		}
	}
	return parts.Wait()
}

// register writes a member's entry at each heartbeat while the member is up.
func (w *World) register(ctx context.Context, m chervilladder.Registered) error {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	address := m.Address
	if a, ok := w.c.Announce[m.ID]; ok {
		address = a
	}
	missed := 0
	for seq := 1; ; seq++ {
		if w.Clusters[m.Service].Down(m.ID) {
			missed++
			if missed == missedHeartbeats {
				w.removeEntry(m.ID)
			}
		} else if err := w.writeEntry(m, address, seq); err != nil {
			return err
		} else {
			missed = 0
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *World) writeEntry(m chervilladder.Registered, address chervilladder.Address, seq int) error {
	leader, _ := w.Clusters[m.Service].Leader()
	entry := map[string]any{
		"service": m.Service, "address": address, "zone": m.DataCentre, "version": "v1", "slots": m.Slots,
		"state": "ready", "cold_remaining_ms": 0, "db_role": "replica", "seq_no": seq, "born": 1,
	}
	w.mu.Lock()
	if w.draining[m.ID] {
		entry["state"] = "draining"
	}
	w.mu.Unlock()
	if leader == m.ID {
		entry["db_role"] = "primary"
	}
	spec, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return w.put("servers", chervilladder.ObjectName(m.ID), spec)
}
