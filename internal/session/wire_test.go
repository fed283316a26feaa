package session

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden returns the bytes of a golden file, after writing them with -update.
func golden(t *testing.T, name string, current []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(hex.Dump(current)), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var b []byte
	for line := range strings.Lines(string(text)) {
		// The offset takes the first eight columns, the characters those after 60.
		part, err := hex.DecodeString(strings.ReplaceAll(line[8:min(len(line), 60)], " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		b = append(b, part...)
	}
	return b
}

func wireRequest() forwardRequest {
	return forwardRequest{
		Route: chervilladder.Route{
			Database: "bookings", Service: "agenda", Freshness: chervilladder.FreshBounded, Timeout: time.Second,
			Target: 200 * time.Millisecond, Priority: chervilladder.PriorityBackground, MaxAge: 1500 * time.Millisecond, Attempts: 2,
		},
		Values:   map[string]string{"who": "ana"},
		Prepared: map[string]link.Prepared{"s1": {Shape: "q2c", Access: chervilladder.AccessRead}},
		Commands: []chervilladder.Command{{
			ID: "5c0e", Kind: chervilladder.CommandExecute, Name: "s1", Rest: "1a4", Access: chervilladder.AccessRead,
			Since: chervilladder.Mark{Term: 3, Position: 1207}, Term: 4,
		}},
	}
}

func wireResponse() forwardResponse {
	return forwardResponse{
		Result: chervilladder.Result{
			Rows: []string{"r"}, Signature: "sig", Code: chervilladder.CodeLagging, Text: "behind",
			State: chervilladder.StateOpen, Mark: chervilladder.Mark{Term: 3, Position: 1209},
		},
		Upstream: "i-7f",
	}
}

// VMs of two builds work side by side during an upgrade: what earlier builds send must
// still be read, and what this one sends must not have changed. The golden files are
// renewed only together with a plan for such VMs.
func TestForwardedMessagesKeepTheirEncoding(t *testing.T) {
	is := is.New(t)
	request, err := encode(wireRequest())
	is.NoErr(err)
	response, err := encode(wireResponse())
	is.NoErr(err)
	earlierRequest := golden(t, "forward-request.hex", request)
	earlierResponse := golden(t, "forward-response.hex", response)
	is.Equal(earlierRequest, request)
	is.Equal(earlierResponse, response)
	p, err := decodeForwardRequest(earlierRequest)
	is.NoErr(err)
	is.Equal(p, wireRequest())
	r, err := decodeForwardResponse(earlierResponse)
	is.NoErr(err)
	is.Equal(r, wireResponse())
}

// A field that this build doesn't know must be ignored, and one that an earlier build
// doesn't send must stay zero.
func TestForwardedMessagesOfOtherBuilds(t *testing.T) {
	is := is.New(t)
	b, err := msgpack.Marshal(map[string]any{
		"Route":    map[string]any{"Database": "bookings", "Added": []int{1}},
		"Commands": []map[string]any{{"ID": "5c0e", "Added": "x"}},
		"Added":    map[string]string{"a": "b"},
	})
	is.NoErr(err)
	p, err := decodeForwardRequest(b)
	is.NoErr(err)
	is.Equal(p.Route.Database, chervilladder.DatabaseID("bookings"))
	is.Equal(p.Commands, []chervilladder.Command{{ID: "5c0e"}})
	is.Equal(len(p.Values), 0)
}

// A VM of an earlier build must be able to read an answer with a report of the host, and
// this build one without.
func TestReportOfAHostIsIgnoredByEarlierBuilds(t *testing.T) {
	is := is.New(t)
	sent := wireResponse()
	sent.Refused, sent.NoPrimary, sent.Took, sent.Wait = chervilladder.ReasonNoPrimary, true, time.Millisecond, time.Second
	b, err := encode(sent)
	is.NoErr(err)
	got, err := decodeForwardResponse(b)
	is.NoErr(err)
	is.Equal(got, sent)
	var earlier struct {
		Result   chervilladder.Result
		Upstream chervilladder.UpstreamID
	}
	is.NoErr(msgpack.Unmarshal(b, &earlier))
	is.Equal(earlier.Result, sent.Result)
}
