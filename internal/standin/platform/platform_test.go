package platform_test

import (
	"encoding/json"
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

// api is a platform that runs within the test.
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

// try makes a call. It returns code 0 when there is no answer.
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

// want makes a call and demands its answer.
func (a *api) want(method, path, body string, code int, answer string) {
	a.t.Helper()
	gotCode, got := a.try(method, path, body)
	if gotCode != code || answer != "" && got != answer {
		a.t.Fatalf("%s %s: %d %s, want %d %s", method, path, gotCode, got, code, answer)
	}
}

// calls returns the counts of calls.
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

func TestObjects(t *testing.T) {
	a := newAPI(t)
	a.want("GET", "/v1/objects/group/db1", "", 404, `{"error":"no object group/db1"}`)
	a.want("PUT", "/v1/objects/group/db1", `{}`, 400, "")
	a.want("PUT", "/v1/objects/group/db1?if-version=0", `{`, 400, "")
	a.want("PUT", "/v1/objects/group/db1?if-version=3", `{}`, 409,
		`{"error":"object group/db1 is at version 0","current":{"kind":"group","name":"db1","version":0,"value":null}}`)
	a.want("PUT", "/v1/objects/group/db1?if-version=0", `{"term":1}`, 200, `{"version":1}`)
	a.want("PUT", "/v1/objects/group/db2?if-version=0", `2`, 200, `{"version":2}`)
	a.want("PUT", "/v1/objects/index/all?if-version=0", `[]`, 200, `{"version":3}`)
	a.want("PUT", "/v1/objects/group/db1?if-version=0", `{}`, 409,
		`{"error":"object group/db1 is at version 1","current":{"kind":"group","name":"db1","version":1,"value":{"term":1}}}`)
	a.want("GET", "/v1/objects/group/db1", "", 200, `{"kind":"group","name":"db1","version":1,"value":{"term":1}}`)
	a.want("GET", "/v1/watch/group?after=1&wait=0s", "", 200,
		`{"version":3,"objects":[{"kind":"group","name":"db2","version":2,"value":2}]}`)
	a.want("DELETE", "/v1/objects/group/db1?if-version=2", "", 409, "")
	a.want("DELETE", "/v1/objects/group/db1?if-version=1", "", 200, `{"version":4}`)
	a.want("GET", "/v1/objects/group", "", 200, `{"version":4,"objects":[{"kind":"group","name":"db2","version":2,"value":2}]}`)

	largest := `"` + strings.Repeat("x", platform.MaxValueBytes-2) + `"`
	a.want("PUT", "/v1/objects/service/s?if-version=0", largest, 200, `{"version":5}`)
	a.want("PUT", "/v1/objects/service/s?if-version=5", largest+" ", 413, "")
}

func TestWatchWaitsForAChange(t *testing.T) {
	is := is.New(t)
	a := newAPI(t)
	a.want("GET", "/v1/watch/group?after=0&wait=1ms", "", 200, `{"version":0,"objects":[]}`)
	answered := make(chan string, 1)
	go func() {
		_, body := a.try("GET", "/v1/watch/group?after=0&wait=1m", "")
		answered <- body
	}()
	a.awaitWatches(1)
	a.want("PUT", "/v1/objects/index/all?if-version=0", `1`, 200, "") // Another kind wakes nobody.
	a.want("PUT", "/v1/objects/group/db1?if-version=0", `1`, 200, "")
	is.Equal(<-answered, `{"version":2,"objects":[{"kind":"group","name":"db1","version":2,"value":1}]}`)
	is.Equal(a.calls(), platform.Counts{Writes: 2, Watches: 2})
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	a := newAPI(t)
	a.want("POST", "/control/faults", `{"typo":1}`, 400, "")
	a.want("POST", "/control/faults", `{"slow":"-1s"}`, 400, "")
	a.want("POST", "/control/faults", `{"lose-answers":1}`, 200, "")
	a.want("PUT", "/v1/objects/group/db1?if-version=7", `1`, 409, "") // No change, so none is lost.
	a.want("PUT", "/v1/objects/group/db1?if-version=0", `1`, 0, "")
	a.want("GET", "/v1/objects/group/db1", "", 200, "")
	a.want("PUT", "/v1/objects/group/db1?if-version=1", `2`, 200, `{"version":2}`)

	answered := make(chan int, 1)
	go func() {
		code, _ := a.try("GET", "/v1/watch/group?after=2&wait=5m", "")
		answered <- code
	}()
	a.awaitWatches(1)
	a.want("POST", "/control/faults", `{"down":true}`, 200, "")
	is.Equal(<-answered, 0)
	a.want("GET", "/v1/objects/group/db1", "", 0, "")
	a.want("POST", "/control/faults", `{"slow":"50ms"}`, 200, "")
	start := time.Now()
	a.want("GET", "/v1/objects/group/db1", "", 200, "")
	is.True(time.Since(start) >= 50*time.Millisecond)
	a.want("POST", "/control/faults", `{}`, 200,
		`{"faults":{"down":false,"slow":"0s","lose-answers":0,"vm-list-lag":"0s"},"calls":{"reads":2,"writes":3,"watches":1,"watches-waiting":0}}`)
}

func TestListOfVMsLags(t *testing.T) {
	a := newAPI(t)
	a.want("GET", "/v1/vms", "", 200, `{"vms":[]}`)
	a.want("PUT", "/v1/vms/vm-1", `{"data-centre":"cr-central-a","peer":"127.0.0.1:1"}`, 200, "")
	a.want("POST", "/control/faults", `{"vm-list-lag":"1h"}`, 200, "")
	a.want("GET", "/v1/vms", "", 200, `{"vms":[]}`)
	a.want("POST", "/v1/vms/vm-1/leaving", "", 200, "")
	a.want("POST", "/v1/vms/vm-2/leaving", "", 404, "")
	a.want("POST", "/control/faults", `{}`, 200, "")
	a.want("GET", "/v1/vms", "", 200,
		`{"vms":[{"vm":"vm-1","data-centre":"cr-central-a","peer":"127.0.0.1:1","state":"leaving"}]}`)
	a.want("DELETE", "/v1/vms/vm-1", "", 200, "")
	a.want("GET", "/v1/vms", "", 200, `{"vms":[]}`)
}

func TestConcurrentChangesAreAllCounted(t *testing.T) {
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
