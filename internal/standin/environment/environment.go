// Package environment provides tests with the surroundings of the proxy on loopback
// addresses: the platform's store and promotions, and services whose members register
// themselves.
package environment

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

// Config configures an Environment.
type Config struct {
	// Services are the replicated services. Their members listen on their addresses.
	Services []cluster.Config
	// AnnouncedAddresses are the addresses that members register instead of those on
	// which they listen.
	AnnouncedAddresses map[chervilladder.UpstreamID]chervilladder.Address
	// Listeners are the listeners of members that listen already.
	Listeners map[chervilladder.UpstreamID]net.Listener
	// Routes is the initial configuration.
	Routes []Route
	// Accounts are the client accounts of the initial configuration; it names none if
	// this is empty.
	Accounts []Account
	Log      logrus.FieldLogger
}

// Account is a client account of the operators' configuration.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// Route is a route of the operators' configuration: it maps the name of a database to a
// service, with the type, limits and priority of its work.
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

// Environment is the platform with its services.
type Environment struct {
	Platform *platform.Platform
	Clusters map[chervilladder.ServiceID]*cluster.Cluster
	c        Config
	store    *platform.Store

	mu       sync.Mutex
	draining map[chervilladder.UpstreamID]bool
	unlisted map[chervilladder.UpstreamID]bool
	// born is when the members that have started again did so.
	born     map[chervilladder.UpstreamID]time.Time
	version  int
	accounts []Account
	// configuration is the last one, as written.
	configuration []byte
}

// New returns an environment and writes the initial configuration.
func New(c Config) (*Environment, error) {
	e := &Environment{c: c, accounts: c.Accounts, Clusters: make(map[chervilladder.ServiceID]*cluster.Cluster), draining: make(map[chervilladder.UpstreamID]bool), unlisted: make(map[chervilladder.UpstreamID]bool), born: make(map[chervilladder.UpstreamID]time.Time)}
	for _, s := range c.Services {
		k, err := cluster.New(s)
		if err != nil {
			return nil, err
		}
		e.Clusters[s.Service] = k
	}
	p, err := platform.New(platform.Config{Promoter: e, Log: c.Log})
	if err != nil {
		return nil, err
	}
	e.Platform, e.store = p, p.Store()
	return e, e.Configure(c.Routes)
}

// Promote carries out a promotion.
func (e *Environment) Promote(service chervilladder.ServiceID, id chervilladder.UpstreamID, holder chervilladder.VMID, epoch chervilladder.Epoch) error {
	k, ok := e.Clusters[service]
	if !ok {
		return &chervilladder.PromotionRefusedError{Upstream: id}
	}
	return k.Promote(holder, epoch, id)
}

// SetAccounts writes a new configuration with the initial routes and other client accounts.
func (e *Environment) SetAccounts(accounts []Account) error {
	e.mu.Lock()
	e.accounts = accounts
	e.mu.Unlock()
	return e.Configure(e.c.Routes)
}

// Configure writes a new configuration.
func (e *Environment) Configure(routes []Route) error {
	type service struct {
		Name         chervilladder.ServiceID `json:"name"`
		MaxConns     int                     `json:"max_conns"`
		SyncReplicas int                     `json:"sync_replicas"`
	}
	var services []service
	for _, s := range e.c.Services {
		services = append(services, service{s.Service, s.Connections, s.Confirmations})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version += 3 // versions increase but need not be consecutive
	configuration := map[string]any{
		"version": e.version, "routes": routes, "services": services, "limits": map[string]int{"tx_idle_ms": 3000},
	}
	if len(e.accounts) > 0 {
		configuration["tenants"] = e.accounts
	}
	spec, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	e.configuration = spec
	return e.put("config", "main", spec)
}

// WriteAgain writes the last configuration again, as the operator does after the store has
// come back from a copy. The members write their entries by themselves.
func (e *Environment) WriteAgain() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.put("config", "main", e.configuration)
}

// put writes an object unconditionally.
func (e *Environment) put(kind chervilladder.ObjectKind, name chervilladder.ObjectName, spec []byte) error {
	for {
		o, _ := e.store.Get(kind, name)
		_, err := e.store.Put(kind, name, spec, o.Version)
		var mismatch *platform.MismatchError
		if !errors.As(err, &mismatch) {
			return err
		}
	}
}

// Drain makes a member register itself as draining.
func (e *Environment) Drain(id chervilladder.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining[id] = true
}

// StartAgain makes a member register itself as one that has just started under its id.
func (e *Environment) StartAgain(id chervilladder.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.draining, id)
	delete(e.unlisted, id)
	e.born[id] = time.Now()
}

// bornAt returns when a member started.
func (e *Environment) bornAt(id chervilladder.UpstreamID) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if born, ok := e.born[id]; ok {
		return born
	}
	return time.UnixMilli(1)
}

// SetListed lets the entry of a member lapse while the member lives, or has the member
// write it again.
func (e *Environment) SetListed(id chervilladder.UpstreamID, listed bool) {
	e.mu.Lock()
	e.unlisted[id] = !listed
	e.mu.Unlock()
	if !listed {
		e.removeEntry(id)
	}
}

func (e *Environment) isUnlisted(id chervilladder.UpstreamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unlisted[id]
}

// heartbeat is the interval at which members write their entries to the store's list
// of group. An entry is removed after missedHeartbeats missed writes.
const (
	heartbeat        = 500 * time.Millisecond
	missedHeartbeats = 3
)

// removeEntry removes the entry of a member that is down.
func (e *Environment) removeEntry(id chervilladder.UpstreamID) {
	name := chervilladder.ObjectName(id)
	if o, ok := e.store.Get("servers", name); ok {
		if _, err := e.store.Delete("servers", name, o.Version); err != nil {
			e.c.Log.WithError(err).Info("environment: the entry of a member that is down was not removed, because it had changed")
		}
	}
}

// Serve serves the store and all members until the context ends.
func (e *Environment) Serve(ctx context.Context, store net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.Platform.Serve(ctx, store) })
	for _, s := range e.c.Services {
		for _, m := range s.Members {
			l, ok := e.c.Listeners[m.ID]
			if !ok {
				var err error
				if l, err = net.Listen("tcp", string(m.Address)); err != nil {
					return fmt.Errorf("member %s: %w", m.ID, err)
				}
			}
			group.Go(func() error { return lineserver.Serve(ctx, l, e.Clusters[s.Service], m.ID) })
			group.Go(func() error { return e.register(ctx, m) })
		}
	}
	return group.Wait()
}

// register writes a member's entry at each heartbeat while the member is up.
func (e *Environment) register(ctx context.Context, m chervilladder.Registered) error {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	address := m.Address
	if a, ok := e.c.AnnouncedAddresses[m.ID]; ok {
		address = a
	}
	missed, born := 0, e.bornAt(m.ID)
	for seq := 1; ; seq++ {
		if b := e.bornAt(m.ID); b != born {
			born, seq = b, 1
		}
		if e.Clusters[m.Service].Down(m.ID) {
			missed++
			if missed == missedHeartbeats {
				e.removeEntry(m.ID)
			}
		} else if e.isUnlisted(m.ID) {
			missed = 0
		} else if err := e.writeEntry(m, address, born, seq); err != nil {
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

func (e *Environment) writeEntry(m chervilladder.Registered, address chervilladder.Address, born time.Time, seq int) error {
	primary, _ := e.Clusters[m.Service].Primary()
	entry := map[string]any{
		"service": m.Service, "address": address, "zone": m.DataCentre, "version": "v1", "slots": m.Slots,
		"state": "ready", "cold_remaining_ms": 0, "db_role": "replica", "seq_no": seq, "born": born.UnixMilli(),
	}
	e.mu.Lock()
	if e.draining[m.ID] {
		entry["state"] = "draining"
	}
	e.mu.Unlock()
	if primary == m.ID {
		entry["db_role"] = "primary"
	}
	spec, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return e.put("servers", chervilladder.ObjectName(m.ID), spec)
}
