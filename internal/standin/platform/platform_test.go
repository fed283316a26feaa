package platform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// api is a platform served within the test process.
type api struct {
	t   *testing.T
	url string
}

func newAPI(t *testing.T) *api {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	p, err := platform.New(platform.Config{Log: l})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &api{t: t, url: server.URL}
}

// try makes a call. It returns code 0 if there is no response.
func (a *api) try(method, path, body string) (int, string) {
	r, err := http.NewRequest(method, a.url+path, strings.NewReader(body))
	if err != nil {
		a.t.Error(err)
		return 0, ""
	}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, strings.TrimSpace(string(data))
}

// want makes a call and checks the response.
func (a *api) want(method, path, body string, code int, answer string) {
	a.t.Helper()
	gotCode, got := a.try(method, path, body)
	if gotCode != code || answer != "" && got != answer {
		a.t.Fatalf("%s %s: %d %s, want %d %s", method, path, gotCode, got, code, answer)
	}
}

// calls returns the number of calls of each kind.
func (a *api) calls() platform.Counts {
	a.t.Helper()
	var status struct{ Calls platform.Counts }
	_, body := a.try("GET", "/control/status", "")
	if err := json.Unmarshal([]byte(body), &status); err != nil {
		a.t.Fatal(err)
	}
	return status.Calls
}

func (a *api) awaitWatches(n int64) {
	a.t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(20 * time.Second); a.calls().Waiting != n; <-tick.C {
		if time.Now().After(deadline) {
			a.t.Fatalf("%d watches wait, want %d", a.calls().Waiting, n)
		}
	}
}

const objects = "/chervilladder/objects/"

func objectJSON(name, spec string, revision int) string {
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d},"spec":%s,"status":null}`, name, revision, spec)
}

func TestObjects(t *testing.T) {
	a := newAPI(t)
	a.want("GET", objects+"group/db1", "", 404, `{"error":"no object group/db1"}`)
	a.want("POST", objects+"group", `{`, 400, "")
	a.want("POST", objects+"group", `{"spec":1}`, 400, "")
	a.want("PUT", objects+"group/db1", objectJSON("db1", `{}`, 3), 404, "")
	a.want("POST", objects+"group", objectJSON("db1", `{"term":1}`, 0), 200, objectJSON("db1", `{"term":1}`, 1))
	a.want("POST", objects+"group", objectJSON("db2", `2`, 0), 200, objectJSON("db2", `2`, 2))
	a.want("POST", objects+"index", objectJSON("all", `[]`, 0), 200, objectJSON("all", `[]`, 3))
	a.want("POST", objects+"group", objectJSON("db1", `{}`, 0), 409, objectJSON("db1", `{"term":1}`, 1))
	a.want("PUT", objects+"group/db1", objectJSON("db1", `{}`, 7), 409, objectJSON("db1", `{"term":1}`, 1))
	a.want("GET", objects+"group/db1", "", 200, objectJSON("db1", `{"term":1}`, 1))
	a.want("GET", objects+"group?watch=1&wait_ms=0", "", 200,
		`{"events":[{"removed":false,"object":`+objectJSON("db2", `2`, 2)+`}],"store_revision":3}`)
	a.want("DELETE", objects+"group/db1?revision=2", "", 409, "")
	a.want("DELETE", objects+"group/db1?revision=1", "", 200, "")
	a.want("GET", objects+"group", "", 200, `{"items":[`+objectJSON("db2", `2`, 2)+`],"has_more":false,"store_revision":4}`)
	a.want("GET", objects+"group?watch=3&wait_ms=0", "", 200,
		`{"events":[{"removed":true,"object":`+objectJSON("db1", `null`, 4)+`}],"store_revision":4}`)
	a.want("POST", "/control/forget", "", 200, "")
	a.want("GET", objects+"group?watch=3&wait_ms=0", "", 410, "")
	a.want("GET", objects+"group?watch=4&wait_ms=0", "", 200, `{"events":[],"store_revision":4}`)
	a.want("GET", objects+"group?watch=x&wait_ms=0", "", 400, "")
	a.want("GET", objects+"group?watch=4&wait_ms=60000", "", 400, "")
	a.want("PUT", objects+"group/db2", objectJSON("db2", `3`, 0), 200, objectJSON("db2", `3`, 5)) // no condition
	a.want("POST", objects+"service", objectJSON("s", `"`+strings.Repeat("x", platform.MaxValueBytes)+`"`, 0), 413, "")
	a.want("POST", "/promotion", `{"service":"s","id":"u"}`, 400, "")
}

func TestListIsPaginated(t *testing.T) {
	is := is.New(t)
	a := newAPI(t)
	for n := range 501 {
		a.want("POST", objects+"group", objectJSON(fmt.Sprintf("db%03d", n), "1", 0), 200, "")
	}
	type page struct {
		Items   []any
		HasMore bool `json:"has_more"`
	}
	var first, second page
	_, body := a.try("GET", objects+"group", "")
	is.NoErr(json.Unmarshal([]byte(body), &first))
	_, body = a.try("GET", objects+"group?after=db499", "")
	is.NoErr(json.Unmarshal([]byte(body), &second))
	is.True(len(first.Items) == 500 && first.HasMore)
	is.True(len(second.Items) == 1 && !second.HasMore)
}

func TestWatchWaitsForAChange(t *testing.T) {
	is := is.New(t)
	a := newAPI(t)
	a.want("GET", objects+"group?watch=0&wait_ms=1", "", 200, `{"events":[],"store_revision":0}`)
	answered := make(chan string, 1)
	go func() {
		_, body := a.try("GET", objects+"group?watch=0&wait_ms=30000", "")
		answered <- body
	}()
	a.awaitWatches(1)
	a.want("POST", objects+"index", objectJSON("all", "1", 0), 200, "") // A change of another kind answers no watch.
	a.want("POST", objects+"group", objectJSON("db1", "1", 0), 200, "")
	is.Equal(<-answered, `{"events":[{"removed":false,"object":`+objectJSON("db1", "1", 2)+`}],"store_revision":2}`)
	is.Equal(a.calls(), platform.Counts{Writes: 2, Watches: 2})
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	a := newAPI(t)
	a.want("POST", "/control/faults", `{"typo":1}`, 400, "")
	a.want("POST", "/control/faults", `{"slow":"-1s"}`, 400, "")
	a.want("POST", "/control/faults", `{"lose-answers":1}`, 200, "")
	a.want("PUT", objects+"group/db1", objectJSON("db1", "1", 7), 404, "") // No change, so no answer is lost.
	a.want("POST", objects+"group", objectJSON("db1", "1", 0), 0, "")
	a.want("GET", objects+"group/db1", "", 200, "")
	a.want("PUT", objects+"group/db1", objectJSON("db1", "2", 1), 200, objectJSON("db1", "2", 2))

	answered := make(chan int, 1)
	go func() {
		code, _ := a.try("GET", objects+"group?watch=2&wait_ms=30000", "")
		answered <- code
	}()
	a.awaitWatches(1)
	a.want("POST", "/control/faults", `{"down":true}`, 200, "")
	is.Equal(<-answered, 0)
	a.want("GET", objects+"group/db1", "", 0, "")
	a.want("POST", "/control/faults", `{"slow":"50ms"}`, 200, "")
	start := time.Now()
	a.want("GET", objects+"group/db1", "", 200, "")
	is.True(time.Since(start) >= 50*time.Millisecond)
	a.want("POST", "/control/faults", `{}`, 200,
		`{"faults":{"down":false,"slow":"0s","lose-answers":0,"vm-list-lag":"0s"},"calls":{"reads":2,"writes":3,"watches":1,"watches-waiting":0}}`)
}

func TestListOfVMsLags(t *testing.T) {
	a := newAPI(t)
	none := `{"items":[],"has_more":false,"store_revision":0}`
	a.want("GET", objects+"vms", "", 200, none)
	a.want("PUT", "/control/vms/vm-1", `{"data-centre":"cr-central-a","peer":"127.0.0.1:1"}`, 200, "")
	a.want("POST", "/control/faults", `{"vm-list-lag":"1h"}`, 200, "")
	a.want("GET", objects+"vms", "", 200, none)
	a.want("POST", "/control/vms/vm-1/leaving", "", 200, "")
	a.want("POST", "/control/vms/vm-2/leaving", "", 404, "")
	a.want("POST", "/control/faults", `{}`, 200, "")
	a.want("GET", objects+"vms", "", 200,
		`{"items":[`+objectJSON("vm-1", `{"data-centre":"cr-central-a","peer":"127.0.0.1:1","state":"leaving"}`, 0)+`],"has_more":false,"store_revision":0}`)
	a.want("DELETE", "/control/vms/vm-1", "", 200, "")
	a.want("GET", objects+"vms", "", 200, none)
}

func TestConcurrentChangesAreAllApplied(t *testing.T) {
	is := is.New(t)
	s := platform.NewStore()
	const writers, changes = 8, 100
	done := make(chan struct{})
	for range writers {
		go func() {
			defer func() { done <- struct{}{} }()
			for made := 0; made < changes; {
				o, _ := s.Get("group", "db1")
				value := json.RawMessage("1")
				if _, err := s.Put("group", "db1", value, o.Version); err == nil {
					made++
				}
			}
		}()
	}
	for range writers {
		<-done
	}
	o, _ := s.Get("group", "db1")
	is.Equal(int(o.Version), writers*changes)
}
