// Package platform is a small in-memory stand-in of the platform's object API, for
// tests and the demo. It serves JSON over HTTP; faults are injected through calls
// below /control/ on the same port.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// headerEra is the header of each answer that bears the store's era.
const headerEra = "Store-Era"

// Config configures a Platform.
type Config struct {
	// VMs is the initial list of VMs.
	VMs []VM
	// Promoter carries out promotions; nil rejects them.
	Promoter Promoter
	Log      logrus.FieldLogger
}

// Platform serves the object API.
type Platform struct {
	store  *Store
	vms    *VMList
	faults faultSection
	counts counts
	// promoter carries out promotions; nil rejects them.
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
		vms:    NewVMList(c.VMs),
		faults: faultSection{current: board.NewSection(Faults{})},
		log:    c.Log,

		promoter: c.Promoter,
	}, nil
}

// Store returns the store of objects, for direct access.
func (p *Platform) Store() *Store { return p.store }

// Serve serves calls on the listener until the context is done.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	p.log.Infof("platform: Listening on %s.", l.Addr())
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
	mux.Handle("/", p.withFaults(api))
	mux.HandleFunc("PUT /control/vms/{vm}", p.registerVM)
	mux.HandleFunc("DELETE /control/vms/{vm}", p.removeVM)
	mux.HandleFunc("POST /control/vms/{vm}/leaving", p.markLeaving)
	mux.HandleFunc("POST /control/faults", p.setFaults)
	mux.HandleFunc("POST /control/forget", p.dropHistory)
	mux.HandleFunc("GET /control/status", p.status)
	return mux
}

// withFaults applies the current faults to each call.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := p.faults.untilDown(r.Context())
		defer cancel()
		faults := p.faults.current.Load()
		if faults.Down || !sleep(ctx, time.Duration(faults.Slow)) {
			drop()
		}
		w.Header().Set(headerEra, strconv.FormatUint(uint64(p.store.Era()), 10))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// sleep waits for a duration. It returns false if the context is done.
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
