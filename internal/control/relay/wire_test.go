package relay

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden returns the content of a golden file, after writing it with -update.
func golden(t *testing.T, name string, current any) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		text, err := json.MarshalIndent(current, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// VMs of two builds work side by side during an upgrade: what earlier builds send must
// still be read, and what this one sends must not have changed. The golden files are
// renewed only together with a plan for such VMs.
func TestUpdatesKeepTheirEncoding(t *testing.T) {
	is := is.New(t)
	routing := &chervilladder.Routing{
		Version: 7, Revision: chervilladder.StoreRevision{Revision: 12}, TransactionIdle: 3 * time.Second,
		Routes: map[chervilladder.DatabaseID]chervilladder.Route{"bookings": {
			Database: "bookings", Service: "agenda", Freshness: chervilladder.FreshBounded, Timeout: time.Second,
			Target: 200 * time.Millisecond, Priority: chervilladder.PriorityBackground, MaxAge: 1500 * time.Millisecond, Attempts: 2,
		}},
		Services: map[chervilladder.ServiceID]chervilladder.ServiceLimits{"agenda": {ID: "agenda", MaxConnections: 22, SyncReplicas: 1}},
	}
	withAccounts := *routing
	withAccounts.Accounts = &chervilladder.Accounts{
		Salt:   chervilladder.KeySalt("0123456789abcdef"),
		Keys:   map[chervilladder.KeyDigest]chervilladder.AccountID{chervilladder.KeySalt("0123456789abcdef").Digest("key-1"): "acme"},
		Quotas: map[chervilladder.AccountID]chervilladder.Quota{"acme": {Rate: 12.5, Burst: 40}},
	}
	open := withAccounts.Routes["bookings"]
	open.Open = true
	withAccounts.Routes = map[chervilladder.DatabaseID]chervilladder.Route{"bookings": open}
	change := listChange{
		At: chervilladder.StoreRevision{Revision: 12}, Whole: true, Removed: []chervilladder.UpstreamID{"i-2"},
		Entries: []chervilladder.Registered{{
			ID: "i-1", Service: "agenda", Address: "10.0.0.1:1", DataCentre: "a", Slots: 3, Draining: true, Primary: true,
			Born: time.UnixMilli(1700000000123).UTC(), Cold: time.Second,
		}},
	}
	var gotRouting *chervilladder.Routing
	is.NoErr(json.Unmarshal(golden(t, "routing.json", routing), &gotRouting))
	is.Equal(gotRouting, routing)
	var gotAccounts *chervilladder.Routing
	is.NoErr(json.Unmarshal(golden(t, "routing-accounts.json", &withAccounts), &gotAccounts))
	is.Equal(gotAccounts, &withAccounts)
	var gotChange listChange
	is.NoErr(json.Unmarshal(golden(t, "upstreams.json", change), &gotChange))
	is.Equal(gotChange, change)
	for name, current := range map[string]any{"routing.json": routing, "routing-accounts.json": &withAccounts, "upstreams.json": change} {
		text, err := json.MarshalIndent(current, "", "  ")
		is.NoErr(err)
		is.Equal(string(golden(t, name, current)), string(text)+"\n")
	}
}
