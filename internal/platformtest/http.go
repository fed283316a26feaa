package platformtest

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilladder/chervilladder"
)

// MaxValueBytes bounds the values that the handler takes.
const MaxValueBytes = 1 << 20

type objectJSON struct {
	Kind    chervilladder.ObjectKind `json:"kind"`
	Name    chervilladder.ObjectName `json:"name"`
	Version chervilladder.Version    `json:"version"`
	Value   json.RawMessage          `json:"value,omitempty"`
}

type listJSON struct {
	Version chervilladder.Version `json:"version"`
	Objects []objectJSON          `json:"objects"`
}

type vmJSON struct {
	VM         chervilladder.VMID         `json:"vm"`
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	Peer       chervilladder.Address      `json:"peer"`
	State      string                     `json:"state"`
}

type conflictJSON struct {
	Error   string     `json:"error"`
	Current objectJSON `json:"current"`
}

type errorJSON struct {
	Error string `json:"error"`
}

// Handler serves the store by the platform's HTTP interface. A lost answer is
// a connection that closes without one.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("GET /v1/objects/{kind}", s.serveList)
	mux.HandleFunc("GET /v1/watch/{kind}", s.serveWatch)
	mux.HandleFunc("GET /v1/vms", s.serveVMs)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	kind, name := objectOf(r)
	o, err := s.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, err)
		return
	}
	write(w, http.StatusOK, encode(o))
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	kind, name := objectOf(r)
	version, err := strconv.ParseUint(r.URL.Query().Get("if-version"), 10, 64)
	if err != nil {
		write(w, http.StatusBadRequest, errorJSON{Error: "if-version is no number"})
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		write(w, http.StatusRequestEntityTooLarge, errorJSON{Error: "the value is too large"})
		return
	case err != nil || !json.Valid(value):
		write(w, http.StatusBadRequest, errorJSON{Error: "the value is no JSON"})
		return
	}
	put, err := s.Put(r.Context(), chervilladder.Object{
		Kind: kind, Name: name, Version: chervilladder.Version(version), Value: value,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	write(w, http.StatusOK, objectJSON{Kind: kind, Name: name, Version: put})
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	if err := s.begin(r.Context(), "list"); err != nil {
		writeError(w, err)
		return
	}
	objects, _ := s.after(chervilladder.ObjectKind(r.PathValue("kind")), 0)
	s.writeList(w, objects)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || waitErr != nil {
		write(w, http.StatusBadRequest, errorJSON{Error: "after or wait is wrong"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	objects, err := s.Watch(ctx, chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.Version(after))
	if err != nil {
		writeError(w, err)
		return
	}
	s.writeList(w, objects)
}

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	list := []vmJSON{}
	for _, vm := range vms {
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		list = append(list, vmJSON{VM: vm.ID, DataCentre: vm.DataCentre, Peer: vm.Peer, State: state})
	}
	write(w, http.StatusOK, struct {
		VMs []vmJSON `json:"vms"`
	}{list})
}

func (s *Store) writeList(w http.ResponseWriter, objects []chervilladder.Object) {
	s.mu.Lock()
	list := listJSON{Version: s.version, Objects: []objectJSON{}}
	s.mu.Unlock()
	for _, o := range objects {
		list.Objects = append(list.Objects, encode(o))
	}
	write(w, http.StatusOK, list)
}

func objectOf(r *http.Request) (chervilladder.ObjectKind, chervilladder.ObjectName) {
	return chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.ObjectName(r.PathValue("name"))
}

func encode(o chervilladder.Object) objectJSON {
	return objectJSON{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	var missing *chervilladder.NotFoundError
	var conflict *chervilladder.ConflictError
	var failed *chervilladder.PlatformError
	switch {
	case errors.As(err, &missing):
		write(w, http.StatusNotFound, errorJSON{Error: err.Error()})
	case errors.As(err, &conflict):
		write(w, http.StatusConflict, conflictJSON{Error: err.Error(), Current: encode(conflict.Current)})
	case errors.As(err, &failed) && failed.Unknown:
		panic(http.ErrAbortHandler)
	default:
		write(w, http.StatusServiceUnavailable, errorJSON{Error: err.Error()})
	}
}
