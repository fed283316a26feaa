package lab

import (
	"encoding/json"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eraHeader is the header that counts how often the store came back from a copy.
const eraHeader = "Store-Era"

// key identifies an object.
type key struct{ kind, name string }

// stored is an object of the store.
type stored struct {
	revision, created uint64
	spec              json.RawMessage
}

// change is one entry of the store's history. A removal has no spec.
type change struct {
	key      key
	revision uint64
	object   stored
	removed  bool
}

// Copy is the content of the store at a point in time.
type Copy struct {
	objects  map[key]stored
	revision uint64
	history  []change
	// TakenAt is when the copy was taken.
	TakenAt time.Time
}

// Store is a stand-in of the platform's metadata store. It is safe for concurrent use.
type Store struct {
	record *Record

	mu      sync.Mutex
	content Copy
	era     uint64
	away    bool
	// changed is closed and replaced at each change, and when the store goes away.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{record: r, content: Copy{objects: make(map[key]stored), revision: 100}, era: 1, changed: make(chan struct{})}
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content
	c.objects, c.history, c.TakenAt = maps.Clone(c.objects), slices.Clone(c.history), time.Now()
	return c
}

// Drill takes the store away for a while and brings it back from a copy, in a new era.
func (s *Store) Drill(c Copy, away time.Duration) {
	s.mu.Lock()
	s.away = true
	s.wake()
	s.mu.Unlock()
	s.record.Notef("the store is away; its last revision is %d", s.Revision())
	time.Sleep(away)
	s.mu.Lock()
	s.content, s.away = c, false
	s.era++
	s.wake()
	s.mu.Unlock()
	s.record.Notef("the store is back in era %d from a copy that was %.1f s old when it went; its revision is %d",
		s.era, time.Since(c.TakenAt).Seconds()-away.Seconds(), c.revision)
}

// Revision returns the store's revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.revision
}

// Away reports whether the store is away.
func (s *Store) Away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// Get returns the spec of an object.
func (s *Store) Get(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.content.objects[key{kind, name}]
	return o.spec, ok
}

// Put writes an object for the operator or a backend, and returns its revision. It returns
// false while the store is away.
func (s *Store) Put(kind, name string, spec any) (uint64, bool) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	return s.put(key{kind, name}, text).revision, true
}

// Remove removes an object, unless the store is away.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.remove(key{kind, name})
	}
}

// put writes an object. The lock is held.
func (s *Store) put(k key, spec json.RawMessage) stored {
	old, exists := s.content.objects[k]
	if exists && equalJSON(old.spec, spec) {
		return old
	}
	s.content.revision++
	o := stored{revision: s.content.revision, created: old.created, spec: spec}
	if !exists {
		o.created = o.revision
	}
	s.content.objects[k] = o
	s.content.history = append(s.content.history, change{key: k, revision: o.revision, object: o})
	s.wake()
	return o
}

// remove removes an object. The lock is held.
func (s *Store) remove(k key) {
	o, ok := s.content.objects[k]
	if !ok {
		return
	}
	s.content.revision++
	delete(s.content.objects, k)
	s.content.history = append(s.content.history, change{key: k, revision: s.content.revision, object: o, removed: true})
	s.wake()
}

// wake wakes the watches that wait. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// equalJSON reports whether two specs say the same. A heartbeat that counts on changes
// nothing else of its entry.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	for _, v := range []any{x, y} {
		if fields, ok := v.(map[string]any); ok {
			delete(fields, "seq_no")
		}
	}
	return reflect.DeepEqual(x, y)
}

// metaJSON and objectJSON are an object on the wire.
type metaJSON struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	Created    uint64   `json:"create_revision,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type objectJSON struct {
	Meta   metaJSON        `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// eventJSON is a change on the wire.
type eventJSON struct {
	Removed bool       `json:"removed"`
	Object  objectJSON `json:"object"`
}

func encode(k key, o stored) objectJSON {
	return objectJSON{Meta: metaJSON{Name: k.name, Revision: o.revision, Created: o.created, Finalizers: []string{}}, Spec: o.spec}
}

// ServeHTTP answers the calls of the system to the store. While the store is away each
// call gets 503.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names["objects"]), "/")
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind)
	case r.Method == http.MethodGet:
		s.serveGet(w, key{kind, name})
	case r.Method == http.MethodDelete:
		s.serveDelete(w, r, key{kind, name})
	default:
		s.serveWrite(w, r, key{kind, name})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *Store) serveGet(w http.ResponseWriter, k key) {
	s.mu.Lock()
	o, ok := s.content.objects[k]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, encode(k, o))
}

func (s *Store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items, revision := []objectJSON{}, s.content.revision
	for k, o := range s.content.objects {
		if k.kind == kind {
			items = append(items, encode(k, o))
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b objectJSON) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, names["more"]: false, names["revision"]: revision})
}

// serveWatch answers with the changes after a revision as soon as there is one. A revision
// that the store doesn't have gets 410.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(names["wait"]))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, events := s.changed, []eventJSON{}
		answer := map[string]any{names["revision"]: s.content.revision}
		gone, cut := after > s.content.revision, s.away || s.era != era
		for _, c := range s.content.history {
			if c.key.kind == kind && c.revision > after {
				events = append(events, eventJSON{Removed: c.removed, Object: encode(c.key, c.object)})
			}
		}
		s.mu.Unlock()
		answer["events"] = events
		switch {
		case cut:
			panic(http.ErrAbortHandler) // the store went away with the watch
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveWrite creates an object (POST) or replaces it (PUT), if it is at the revision that
// the call names.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, k key) {
	var o objectJSON
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.name = o.Meta.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.content.objects[k]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && exists,
		o.Meta.Revision != 0 && o.Meta.Revision != current.revision:
		reply(w, http.StatusConflict, encode(k, current))
	default:
		written := s.put(k, o.Spec)
		s.record.Notef("store: %s/%s is written at revision %d: %s", k.kind, k.name, written.revision, o.Spec)
		reply(w, http.StatusOK, encode(k, written))
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, k key) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.content.objects[k]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != o.revision:
		reply(w, http.StatusConflict, encode(k, o))
	default:
		s.remove(k)
		reply(w, http.StatusOK, encode(k, o))
	}
}
