// Package platform is a small stand-in of the platform's object API, in
// memory, for tests and the demo. It serves JSON over HTTP and takes the
// faults that it shall have on the same port, below /control/.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// Config configures a Platform.
type Config struct {
	// VMs is the list of VMs at the start.
	VMs []VM
	// Promoter carries out promotions; nil refuses them.
	Promoter Promoter
	Log      logrus.FieldLogger
}

// Platform serves the object API.
type Platform struct {
	store  *Store
	vms    *VMs
	faults faultBoard
	counts counts
	// promoter carries out promotions.
	promoter Promoter
	log      logrus.FieldLogger
}

// New returns a platform with an empty store.
func New(c Config) (*Platform, error) {
	if c.Log == nil {
		return nil, errors.New("platform stand-in: a log is required")
	}
	return &Platform{
		store:  NewStore(),
		vms:    NewVMs(c.VMs),
		faults: faultBoard{faults: board.NewSection(Faults{})},
		log:    c.Log,

		promoter: c.Promoter,
	}, nil
}

// Store returns the objects, for those who write them without a call.
func (p *Platform) Store() *Store { return p.store }

// Serve answers calls on the listener until the context is done.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	p.log.Infof("platform: Listens on %s.", l.Addr())
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("platform stand-in: %w", err)
}

// Handler returns the handler of all calls.
func (p *Platform) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET "+objectsPath+"{kind}", p.listOrWatch)
	api.HandleFunc("GET "+objectsPath+"{kind}/{name}", p.get)
	api.HandleFunc("POST "+objectsPath+"{kind}", p.create)
	api.HandleFunc("PUT "+objectsPath+"{kind}/{name}", p.replace)
	api.HandleFunc("DELETE "+objectsPath+"{kind}/{name}", p.remove)
	api.HandleFunc("GET "+objectsPath+vmsKind, p.listVMs)
	api.HandleFunc("POST /promotion", p.promote)
	mux := http.NewServeMux()
	mux.Handle("/", p.faulty(api))
	mux.HandleFunc("PUT /control/vms/{vm}", p.registerVM)
	mux.HandleFunc("DELETE /control/vms/{vm}", p.removeVM)
	mux.HandleFunc("POST /control/vms/{vm}/leaving", p.markLeaving)
	mux.HandleFunc("POST /control/faults", p.setFaults)
	mux.HandleFunc("POST /control/forget", p.forget)
	mux.HandleFunc("GET /control/status", p.status)
	return mux
}

// faulty applies the faults in force to each call.
func (p *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := p.faults.untilDown(r.Context())
		defer cancel()
		faults := p.faults.faults.Load()
		if faults.Down || !sleep(ctx, time.Duration(faults.Slow)) {
			drop()
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// sleep waits for a time. It returns false when the context is done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}
