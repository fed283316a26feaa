package daemon

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/jsonc"
)

const goodSettings = `// A VM.
{
  "vm": "entry-1", "data-centre": "cr-central-a",
  "callers": "127.0.0.1:7001", "peers": "127.0.0.1:7002",
  "operators": "127.0.0.1:7003", "platform": "127.0.0.1:7004",
  "join": ["10.0.0.2:7002"], "peer-key": "0123456789abcdef",
  "drain-timeout": "20s",
}`

func TestParseSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("a.json", []byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.VM, chervilladder.VMID("entry-1"))
	is.Equal(s.Join, []chervilladder.Address{"10.0.0.2:7002"})
	is.Equal(s.DrainTimeout, 20*time.Second)
	is.Equal(s.StartTimeout, defaultStartTimeout)
	is.Equal(s.LogLevel, "info")
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := ParseSettings("a.json", []byte(`{
  "vm": "Entry 1",
  "data-centre": "a", "data-centre": "b",
  "callers": "127.0.0.1:1",
  "peers": "127.0.0.1:1",
  "operators": "localhost:3",
  "join": ["10.0.0.2:1", "10.0.0.2:1"],
  "peer-key": "short",
  "log-format": "xml",
  "drain-timeout": "1h",
  "colour": "red",
}`))
	var check *jsonc.CheckError
	is.True(errors.As(err, &check))
	is.Equal(err.Error(), `a.json:1:1: the file lacks the key "platform"; add it
a.json:2:9: "vm" of the file, "Entry 1", is not a valid name; use up to 63 lower-case letters, digits, '-' and '_', a letter or digit first
a.json:3:23: the file has the key "data-centre" twice; remove one of them
a.json:5:12: "peers" of the file is 127.0.0.1:1, as is "callers"; give each its own port
a.json:6:16: "operators" of the file, "localhost:3", is not an IP address and a port; write an IP address and a port, such as "10.0.0.7:5432"
a.json:7:26: "join" of the file has 10.0.0.2:1 twice; remove one of them
a.json:8:15: "peer-key" of the file has 5 bytes; give at least 16, drawn at random
a.json:9:17: "log-format" of the file is "xml"; use one of text, json
a.json:10:20: "drain-timeout" of the file, "1h", is not a duration from 100ms to 10m0s; write a number and a unit within these bounds, such as "150ms" or "2s"
a.json:11:3: the file has the unknown key "colour"; remove it, or use one of vm, data-centre, callers, peers, operators, platform, join, peer-key, operators-token, log-format, log-level, drain-timeout, start-timeout, idle-transaction-timeout, tls-certificate, tls-key`)
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte(`{"vm": 1, "join": [{}], "vm": null`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseSettings("a.json", text)
		var check *jsonc.CheckError
		if err != nil && !errors.As(err, &check) {
			t.Errorf("the error is not a *jsonc.CheckError: %v", err)
		}
		if err == nil && (s.VM == "" || s.Peers == s.Callers || s.DrainTimeout <= 0) {
			t.Errorf("invalid settings were accepted: %+v", s)
		}
	})
}
