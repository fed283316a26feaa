package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilladder/chervilladder"
)

// objectsPath is the prefix of the paths of objects: kind and name follow.
const objectsPath = "/chervilladder/objects/"

// vmsKind is the kind of the list of VMs.
const vmsKind = "vms"

// Limits of lists and watches.
const (
	// maxPage is the maximum number of objects of a page.
	maxPage = 500
	// maxWait is the maximum wait of a watch.
	maxWait = 30 * time.Second
)

// objectBody is an object in a request or response. Its revision is the version of the
// Object, and its spec the value.
type objectBody struct {
	Meta   metaBody        `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type metaBody struct {
	Name     chervilladder.ObjectName `json:"name"`
	Revision chervilladder.Version    `json:"revision"`
}

func body(o Object) objectBody {
	return objectBody{Meta: metaBody{Name: o.Name, Revision: o.Version}, Spec: o.Value, Status: json.RawMessage("null")}
}

type pageBody struct {
	Items    []objectBody          `json:"items"`
	HasMore  bool                  `json:"has_more"`
	Revision chervilladder.Version `json:"store_revision"`
}

type eventBody struct {
	Removed bool       `json:"removed"`
	Object  objectBody `json:"object"`
}

type changesBody struct {
	Events   []eventBody           `json:"events"`
	Revision chervilladder.Version `json:"store_revision"`
}

func key(r *http.Request) (chervilladder.ObjectKind, chervilladder.ObjectName) {
	return chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.ObjectName(r.PathValue("name"))
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.counts.reads.Add(1)
	kind, name := key(r)
	o, ok := p.store.Get(kind, name)
	if !ok {
		fail(w, http.StatusNotFound, fmt.Sprintf("no object %s/%s", kind, name))
		return
	}
	answer(w, http.StatusOK, body(o))
}

func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		p.watch(w, r)
		return
	}
	p.counts.reads.Add(1)
	version, objects, _ := p.store.List(chervilladder.ObjectKind(r.PathValue("kind")), 0)
	after := chervilladder.ObjectName(r.URL.Query().Get("after"))
	page := pageBody{Items: []objectBody{}, Revision: version}
	for _, o := range objects {
		if o.Name <= after {
			continue
		}
		if len(page.Items) == maxPage {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, body(o))
	}
	answer(w, http.StatusOK, page)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	o, ok := p.decodeChange(w, r)
	if !ok {
		return
	}
	kind := chervilladder.ObjectKind(r.PathValue("kind"))
	_, err := p.store.Put(kind, o.Meta.Name, o.Spec, 0)
	p.answerChange(w, r, kind, o.Meta.Name, err)
}

func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := p.decodeChange(w, r)
	if !ok {
		return
	}
	kind, name := key(r)
	current, exists := p.store.Get(kind, name)
	if !exists {
		fail(w, http.StatusNotFound, fmt.Sprintf("no object %s/%s", kind, name))
		return
	}
	version := o.Meta.Revision
	if version == 0 {
		version = current.Version // no condition
	}
	_, err := p.store.Put(kind, name, o.Spec, version)
	p.answerChange(w, r, kind, name, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.counts.writes.Add(1)
	kind, name := key(r)
	current, exists := p.store.Get(kind, name)
	if !exists {
		fail(w, http.StatusNotFound, fmt.Sprintf("no object %s/%s", kind, name))
		return
	}
	version := current.Version
	if given := r.URL.Query().Get("revision"); given != "" {
		n, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			fail(w, http.StatusBadRequest, "revision must be a number")
			return
		}
		version = chervilladder.Version(n)
	}
	_, err := p.store.Delete(kind, name, version)
	p.answerChange(w, r, kind, name, err)
}

// decodeChange decodes the object in a request that changes it, and counts a write. It
// responds with an error and returns false if the object is invalid.
func (p *Platform) decodeChange(w http.ResponseWriter, r *http.Request) (objectBody, bool) {
	p.counts.writes.Add(1)
	var o objectBody
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&o)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("an object has at most %d bytes", MaxValueBytes))
	case err != nil:
		fail(w, http.StatusBadRequest, err.Error())
	case r.Method == http.MethodPost && o.Meta.Name == "":
		fail(w, http.StatusBadRequest, "meta.name is missing")
	default:
		return o, true
	}
	return o, false
}

func (p *Platform) answerChange(w http.ResponseWriter, r *http.Request, kind chervilladder.ObjectKind, name chervilladder.ObjectName, err error) {
	var mismatch *MismatchError
	if errors.As(err, &mismatch) {
		answer(w, http.StatusConflict, body(mismatch.Current))
		return
	}
	if p.faults.losesAnswer() {
		p.log.Infof("platform: Dropped the answer to a change. path=%s", r.URL.Path)
		drop()
	}
	o, _ := p.store.Get(kind, name)
	answer(w, http.StatusOK, body(o))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.counts.watches.Add(1)
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "watch must be a revision")
		return
	}
	millis, err := strconv.ParseUint(defaultTo(r.URL.Query().Get("wait_ms"), "0"), 10, 32)
	wait := time.Duration(millis) * time.Millisecond
	if err != nil || wait > maxWait {
		fail(w, http.StatusBadRequest, fmt.Sprintf("wait_ms must be whole milliseconds, %d at most", maxWait.Milliseconds()))
		return
	}
	p.counts.waiting.Add(1)
	changes, historyKept := p.await(r.Context(), chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.Version(after), wait)
	p.counts.waiting.Add(-1)
	switch {
	case r.Context().Err() != nil:
		drop()
	case !historyKept:
		fail(w, http.StatusGone, "this history is gone")
	default:
		answer(w, http.StatusOK, changes)
	}
}

// await waits for a change of a kind after a version. It returns false if the
// history since that version is gone.
func (p *Platform) await(ctx context.Context, kind chervilladder.ObjectKind, after chervilladder.Version, wait time.Duration) (changesBody, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version, objects, changed, historyKept := p.store.Changes(kind, after)
		answer := changesBody{Events: []eventBody{}, Revision: version}
		for _, o := range objects {
			answer.Events = append(answer.Events, eventBody{Removed: o.Removed, Object: body(o)})
		}
		if !historyKept || len(objects) > 0 {
			return answer, historyKept
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, true
		case <-ctx.Done():
			return answer, true
		}
	}
}

func (p *Platform) dropHistory(w http.ResponseWriter, _ *http.Request) {
	p.store.DropHistory()
	answer(w, http.StatusOK, struct{}{})
}

// Promoter carries out promotions. It returns a *chervilladder.PromotionRefusedError
// for one that it rejects.
type Promoter interface {
	Promote(service chervilladder.ServiceID, id chervilladder.UpstreamID, holder chervilladder.VMID, epoch chervilladder.Epoch) error
}

func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	p.counts.writes.Add(1)
	var order struct {
		Service chervilladder.ServiceID  `json:"service"`
		ID      chervilladder.UpstreamID `json:"id"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&order)
	holder := chervilladder.VMID(r.Header.Get("X-Chervilladder-Duty-Holder"))
	epoch, numberErr := strconv.ParseUint(r.Header.Get("X-Chervilladder-Fencing-Token"), 10, 64)
	if err != nil || numberErr != nil || holder == "" {
		fail(w, http.StatusBadRequest, "a promotion needs service, id, holder and token")
		return
	}
	if p.promoter == nil {
		fail(w, http.StatusNotFound, "this platform has no promoter")
		return
	}
	if err := p.promoter.Promote(order.Service, order.ID, holder, chervilladder.Epoch(epoch)); err != nil {
		fail(w, http.StatusConflict, err.Error())
		return
	}
	if p.faults.losesAnswer() {
		drop()
	}
	answer(w, http.StatusOK, struct{}{})
}
