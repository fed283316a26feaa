package platformtest

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilladder/chervilladder"
)

// MaxRequestBytes is the maximum size of a request to write an object.
const MaxRequestBytes = 1 << 20

type objectJSON struct {
	Meta metaJSON        `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type metaJSON struct {
	Name     chervilladder.ObjectName `json:"name"`
	Revision chervilladder.Version    `json:"revision"`
}

type listJSON struct {
	Items    []objectJSON          `json:"items"`
	HasMore  bool                  `json:"has_more"`
	Revision chervilladder.Version `json:"store_revision"`
}

type eventJSON struct {
	Object  objectJSON `json:"object"`
	Removed bool       `json:"removed"`
}

type changesJSON struct {
	Events   []eventJSON           `json:"events"`
	Revision chervilladder.Version `json:"store_revision"`
}

type vmJSON struct {
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	Peer       chervilladder.Address      `json:"peer"`
	State      string                     `json:"state"`
}

type errorJSON struct {
	Error string `json:"error"`
}

// Handler serves the store over the platform's HTTP interface. It simulates a
// lost response by closing the connection without one.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chervilladder/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /chervilladder/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("POST /chervilladder/objects/{kind}", s.servePut)
	mux.HandleFunc("GET /chervilladder/objects/{kind}", s.serveList)
	mux.HandleFunc("GET /chervilladder/objects/vms", s.serveVMs)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	kind, name := kindAndName(r)
	o, err := s.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, encode(o))
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	var o objectJSON
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes)).Decode(&o)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		writeJSON(w, http.StatusRequestEntityTooLarge, errorJSON{Error: "the value is too large"})
		return
	case err != nil:
		writeJSON(w, http.StatusBadRequest, errorJSON{Error: "the object is not valid JSON"})
		return
	}
	put := chervilladder.Object{
		Kind: chervilladder.ObjectKind(r.PathValue("kind")), Name: o.Meta.Name, Version: o.Meta.Revision, Value: o.Spec,
	}
	put.Version, err = s.Put(r.Context(), put)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, encode(put))
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	kind := chervilladder.ObjectKind(r.PathValue("kind"))
	if r.URL.Query().Has("watch") {
		s.serveWatch(w, r, kind)
		return
	}
	if err := s.begin(r.Context(), "list"); err != nil {
		writeError(w, err)
		return
	}
	objects, _ := s.newerThan(kind, 0)
	list := listJSON{Items: []objectJSON{}, Revision: s.currentVersion()}
	for _, o := range objects {
		list.Items = append(list.Items, encode(o))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind chervilladder.ObjectKind) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, waitErr := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 32)
	if err != nil || waitErr != nil {
		writeJSON(w, http.StatusBadRequest, errorJSON{Error: "watch or wait_ms is not a number"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	objects, err := s.Watch(ctx, kind, chervilladder.Version(after))
	if err != nil {
		writeError(w, err)
		return
	}
	changes := changesJSON{Events: []eventJSON{}, Revision: s.currentVersion()}
	for _, o := range objects {
		changes.Events = append(changes.Events, eventJSON{Object: encode(o)})
	}
	writeJSON(w, http.StatusOK, changes)
}

func (s *Store) currentVersion() chervilladder.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	list := listJSON{Items: []objectJSON{}, Revision: s.currentVersion()}
	for _, vm := range vms {
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		spec, err := json.Marshal(vmJSON{DataCentre: vm.DataCentre, Peer: vm.Peer, State: state})
		if err != nil {
			writeError(w, err)
			return
		}
		list.Items = append(list.Items, objectJSON{Meta: metaJSON{Name: chervilladder.ObjectName(vm.ID)}, Spec: spec})
	}
	// Besides those of SetVMs, the list has the VMs that were put as objects of
	// the kind "vms".
	announced, _ := s.newerThan("vms", 0)
	for _, o := range announced {
		list.Items = append(list.Items, encode(o))
	}
	writeJSON(w, http.StatusOK, list)
}

// kindAndName returns the kind and the name in the path of a request.
func kindAndName(r *http.Request) (chervilladder.ObjectKind, chervilladder.ObjectName) {
	return chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.ObjectName(r.PathValue("name"))
}

func encode(o chervilladder.Object) objectJSON {
	return objectJSON{Meta: metaJSON{Name: o.Name, Revision: o.Version}, Spec: o.Value}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
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
		writeJSON(w, http.StatusNotFound, errorJSON{Error: err.Error()})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, encode(conflict.Current))
	case errors.As(err, &failed) && failed.Unknown:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusServiceUnavailable, errorJSON{Error: err.Error()})
	}
}
