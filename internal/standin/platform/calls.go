package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/chervilladder/chervilladder"
)

// failure is the response to a failed call.
type failure struct {
	Error string `json:"error"`
}

// controlStatus is the response to GET /control/status.
type controlStatus struct {
	Faults Faults `json:"faults"`
	Calls  Counts `json:"calls"`
}

// vmSpec is the value of a VM's object.
type vmSpec struct {
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	Peer       chervilladder.Address      `json:"peer"`
	State      VMState                    `json:"state"`
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.counts.reads.Add(1)
	version, announced, _ := p.store.List(vmsKind, 0)
	page := pageBody{Items: []objectBody{}, Revision: version}
	for _, vm := range p.vms.Lagged(time.Duration(p.faults.current.Load().VMListLag)) {
		spec, err := json.Marshal(vmSpec{DataCentre: vm.DataCentre, Peer: vm.Peer, State: vm.State})
		if err != nil {
			fail(w, http.StatusInternalServerError, err.Error())
			return
		}
		page.Items = append(page.Items, objectBody{Meta: metaBody{Name: chervilladder.ObjectName(vm.ID)}, Spec: spec, Status: json.RawMessage("null")})
	}
	// VMs registered by the control calls are in p.vms; VMs that register themselves
	// write objects of the kind vms.
	for _, o := range announced {
		page.Items = append(page.Items, body(o))
	}
	answer(w, http.StatusOK, page)
}

func (p *Platform) registerVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&vm); err != nil {
		fail(w, http.StatusBadRequest, fmt.Sprintf(`the body must be {"data-centre":…,"peer":…}: %v`, err))
		return
	}
	vm.ID = chervilladder.VMID(r.PathValue("vm"))
	p.vms.Register(vm)
	answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) removeVM(w http.ResponseWriter, r *http.Request) {
	p.vms.Remove(chervilladder.VMID(r.PathValue("vm")))
	answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) markLeaving(w http.ResponseWriter, r *http.Request) {
	id := chervilladder.VMID(r.PathValue("vm"))
	if !p.vms.MarkLeaving(id) {
		fail(w, http.StatusNotFound, fmt.Sprintf("no VM %s", id))
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var next Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if next.LoseAnswers < 0 {
		fail(w, http.StatusBadRequest, "lose-answers must not be negative")
		return
	}
	p.SetFaults(next)
	p.log.Infof("platform: Faults set. faults=%+v", next)
	p.status(w, r)
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(next Faults) {
	p.faults.current.Update(func(f *Faults) { *f = next })
}

func (p *Platform) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, controlStatus{Faults: p.faults.current.Load(), Calls: p.counts.load()})
}

func defaultTo(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The connection may be closed; there is nowhere to report an error.
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, code int, message string) {
	answer(w, code, failure{Error: message})
}

// drop closes the connection of the call without a response.
func drop() {
	panic(http.ErrAbortHandler)
}
