package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/chervilladder/chervilladder"
)

// objectList answers a list or a watch.
type objectList struct {
	Version chervilladder.Version `json:"version"`
	Objects []Object              `json:"objects"`
}

// changed answers a change that was made.
type changed struct {
	Version chervilladder.Version `json:"version"`
}

// conflict answers a change that was refused because of the object's version.
type conflict struct {
	Error   string `json:"error"`
	Current Object `json:"current"`
}

// failure answers a call that failed.
type failure struct {
	Error string `json:"error"`
}

// vmList answers a call for the list of VMs.
type vmList struct {
	VMs []VM `json:"vms"`
}

// controlStatus answers a call for the faults in force and the counts.
type controlStatus struct {
	Faults Faults `json:"faults"`
	Calls  Counts `json:"calls"`
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.counts.reads.Add(1)
	lag := time.Duration(p.faults.faults.Load().VMListLag)
	answer(w, http.StatusOK, vmList{VMs: p.vms.Show(lag)})
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
	p.faults.faults.Update(func(f *Faults) { *f = next })
	p.log.Infof("platform: Faults set. faults=%+v", next)
	p.status(w, r)
}

func (p *Platform) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, controlStatus{Faults: p.faults.faults.Load(), Calls: p.counts.load()})
}

func key(r *http.Request) (chervilladder.ObjectKind, chervilladder.ObjectName) {
	return chervilladder.ObjectKind(r.PathValue("kind")), chervilladder.ObjectName(r.PathValue("name"))
}

func parseIfVersion(w http.ResponseWriter, r *http.Request) (chervilladder.Version, bool) {
	v, err := strconv.ParseUint(r.URL.Query().Get("if-version"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "if-version is required; 0 means that the object must not exist")
		return 0, false
	}
	return chervilladder.Version(v), true
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
	// The peer may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, code int, message string) {
	answer(w, code, failure{Error: message})
}

// drop ends the connection of the call without an answer.
func drop() {
	panic(http.ErrAbortHandler)
}
