// Package platform is a small stand-in of the platform's object API, in
// memory, for tests and the demo. It serves JSON over HTTP and takes the
// faults that it shall have on the same port, below /control/.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// maxWait is the longest wait of a watch.
const maxWait = 5 * time.Minute

// Config configures a Platform.
type Config struct {
	// VMs is the list of VMs at the start.
	VMs []VM
	Log logrus.FieldLogger
}

// Platform serves the object API.
type Platform struct {
	store  *Store
	vms    *VMs
	faults faultBoard
	counts counts
	log    logrus.FieldLogger
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
	}, nil
}

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
	api.HandleFunc("GET /v1/objects/{kind}/{name}", p.get)
	api.HandleFunc("PUT /v1/objects/{kind}/{name}", p.put)
	api.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.remove)
	api.HandleFunc("GET /v1/objects/{kind}", p.list)
	api.HandleFunc("GET /v1/watch/{kind}", p.watch)
	api.HandleFunc("GET /v1/vms", p.listVMs)
	mux := http.NewServeMux()
	mux.Handle("/v1/", p.faulty(api))
	mux.HandleFunc("PUT /v1/vms/{vm}", p.registerVM)
	mux.HandleFunc("DELETE /v1/vms/{vm}", p.removeVM)
	mux.HandleFunc("POST /v1/vms/{vm}/leaving", p.markLeaving)
	mux.HandleFunc("POST /control/faults", p.setFaults)
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

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.counts.reads.Add(1)
	kind, name := key(r)
	o, ok := p.store.Get(kind, name)
	if !ok {
		fail(w, http.StatusNotFound, fmt.Sprintf("no object %s/%s", kind, name))
		return
	}
	answer(w, http.StatusOK, o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.counts.reads.Add(1)
	version, objects, _ := p.store.List(chervilladder.ObjectKind(r.PathValue("kind")), 0)
	answer(w, http.StatusOK, objectList{Version: version, Objects: objects})
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.counts.writes.Add(1)
	ifVersion, ok := parseIfVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		fail(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a value has at most %d bytes", MaxValueBytes))
		return
	}
	if err != nil {
		drop()
	}
	if !json.Valid(value) {
		fail(w, http.StatusBadRequest, "the value is not JSON")
		return
	}
	kind, name := key(r)
	version, err := p.store.Put(kind, name, value, ifVersion)
	p.answerChange(w, r, version, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.counts.writes.Add(1)
	ifVersion, ok := parseIfVersion(w, r)
	if !ok {
		return
	}
	kind, name := key(r)
	version, err := p.store.Delete(kind, name, ifVersion)
	p.answerChange(w, r, version, err)
}

func (p *Platform) answerChange(w http.ResponseWriter, r *http.Request, version chervilladder.Version, err error) {
	var mismatch *MismatchError
	if errors.As(err, &mismatch) {
		answer(w, http.StatusConflict, conflict{Error: err.Error(), Current: mismatch.Current})
		return
	}
	if p.faults.takeLostAnswer() {
		p.log.Infof("platform: Loses the answer to a change. path=%s version=%d", r.URL.Path, version)
		drop()
	}
	answer(w, http.StatusOK, changed{Version: version})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.counts.watches.Add(1)
	after, err := strconv.ParseUint(defaultTo(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after must be a version")
		return
	}
	wait, err := time.ParseDuration(defaultTo(r.URL.Query().Get("wait"), "30s"))
	if err != nil || wait < 0 || wait > maxWait {
		fail(w, http.StatusBadRequest, fmt.Sprintf("wait must be a time of at most %s, such as 30s", maxWait))
		return
	}
	p.counts.waiting.Add(1)
	list := p.await(r.Context(), chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.Version(after), wait)
	p.counts.waiting.Add(-1)
	if r.Context().Err() != nil {
		drop()
	}
	answer(w, http.StatusOK, list)
}

// await waits until a kind has objects newer than a version.
func (p *Platform) await(ctx context.Context, kind chervilladder.ObjectKind, after chervilladder.Version, wait time.Duration) objectList {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version, objects, changed := p.store.List(kind, after)
		if len(objects) > 0 {
			return objectList{Version: version, Objects: objects}
		}
		select {
		case <-changed:
		case <-timer.C:
			return objectList{Version: version, Objects: objects}
		case <-ctx.Done():
			return objectList{Version: version, Objects: objects}
		}
	}
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
