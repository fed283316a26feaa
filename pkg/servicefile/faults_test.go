package servicefile_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

const smallFile = `{
  "service": "s",
  "default-class": "c",
  "databases": [{"name": "d", "upstreams": [
    {"name": "u", "address": "10.0.0.1:5432", "data-centre": "dc", "slots": 2, "connections": 4},
  ]}],
  "classes": [
    {"name": "c", "priority": "urgent", "target": "1s", "deadline": "2s"},
  ],
}
`

func TestFaults(t *testing.T) {
	tests := []struct {
		name, old, new, fault string
	}{
		{"syntax", `"s",`, `"s"`, `f:3:3: invalid character '"' after object value (expecting ',' or '}'); write JSON`},
		{"unknown key", `"service"`, `"servce"`, `f:2:3: the file has the unknown key "servce"; remove it, or use one of service,`},
		{"missing key", `"service": "s",`, ``, `f:1:1: the file lacks the key "service"; add it`},
		{"duplicate key", `"service": "s",`, `"service": "s", "service": "t",`, `f:2:19: the file has the key "service" twice; remove one of them`},
		{"wrong type", `"service": "s"`, `"service": 7`, `f:2:14: "service" of the file has the wrong type; write a string in quotes`},
		{"name", `"service": "s"`, `"service": "S s"`, `f:2:14: "service" of the file, "S s", is not a valid name; use up to 63`},
		{"no list", `"databases": [`, `"databases": {}, "x": [`, `f:4:16: "databases" of the file has the wrong type; write a list`},
		{"host name", `10.0.0.1:5432`, `db.local:5432`, `f:5:30: "address" of upstream "u", "db.local:5432", is not an IP address and a port; write`},
		{"no port", `10.0.0.1:5432`, `10.0.0.1`, `f:5:30: "address" of upstream "u", "10.0.0.1", is not an IP address and a port; write`},
		{"slots", `"slots": 2`, `"slots": 0`, `f:5:77: "slots" of upstream "u" is 0; give a whole number from 1 to 1000`},
		{"fractional slots", `"slots": 2`, `"slots": 1.5`, `f:5:77: "slots" of upstream "u" is 1.5; give a whole number`},
		{"connections", `"connections": 4`, `"connections": 1`, `f:5:95: upstream "u" has 1 connections for 2 slots; give at least one`},
		{"leaving", `"slots": 2`, `"slots": 2, "leaving": 1`, `f:5:91: "leaving" of upstream "u" has the wrong type; write true or false`},
		{"two upstreams", `"connections": 4},`, "\"connections\": 4},\n{\"name\": \"u\", \"address\": \"10.0.0.1:5432\", \"data-centre\": \"dc\", \"slots\": 1, \"connections\": 1}", `f:6:10: upstream "u" is given twice, first on line 5; give each its own`},
		{"two addresses", `"connections": 4},`, "\"connections\": 4},\n{\"name\": \"v\", \"address\": \"[::ffff:10.0.0.1]:5432\", \"data-centre\": \"dc\", \"slots\": 1, \"connections\": 1}", `f:6:26: address "10.0.0.1:5432" is given twice, first on line 5; give each its own`},
		{"priority", `"urgent"`, `"high"`, `f:8:31: "priority" of class "c" is "high"; use urgent, normal or background`},
		{"no unit", `"1s"`, `"1"`, `f:8:51: "target" of class "c", "1", is not a valid duration; write a number and a unit`},
		{"negative", `"1s"`, `"-1s"`, `f:8:51: "target" of class "c", "-1s", is not a valid duration; write`},
		{"target", `"1s"`, `"3s"`, `f:8:51: class "c" has a target of 3s over its deadline of 2s; lower the target`},
		{"confirm", `"2s"}`, `"2s", "confirm": "all"}`, `f:8:86: "confirm" of class "c" is "all"; use primary or replica`},
		{"objective", `"2s"}`, `"2s", "objective-percent": 100.5}`, `f:8:96: "objective-percent" of class "c" is 100.5; give a number from 0 to 100`},
		{"floors", `"2s"},`, `"2s", "floor-percent": 60}, {"name": "b", "priority": "normal", "target": "1s", "deadline": "1s", "floor-percent": 41},`, `f:7:14: the values of "floor-percent" sum to 101; lower some`},
		{"two classes", `"2s"},`, `"2s"}, {"name": "c", "priority": "normal", "target": "1s", "deadline": "1s"},`, `f:8:76: class "c" is given twice; rename or remove one of them`},
		{"default class", `"default-class": "c"`, `"default-class": "x"`, `f:3:20: "default-class" names the class "x", which the file does not define; name one of`},
		{"role", `"databases"`, `"roles": {"r": "x"}, "databases"`, `f:4:18: role "r" names the class "x", which the file does not define; name one of`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(smallFile, tt.old)) // the replacement changes the file
			_, err := servicefile.Parse("f", []byte(strings.Replace(smallFile, tt.old, tt.new, 1)))
			var check *servicefile.CheckError
			is.True(errors.As(err, &check))
			if !strings.Contains("\n"+err.Error(), "\n"+tt.fault) {
				t.Fatalf("got:\n%v\nwant:\n%s", err, tt.fault)
			}
		})
	}
}

func TestCheckFindsEveryFault(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"urgent"`, `"high"`, `10.0.0.1`, `db`, `"service"`, `"serviec"`).Replace(smallFile)
	_, err := servicefile.Parse("f", []byte(text))
	var check *servicefile.CheckError
	is.True(errors.As(err, &check))
	var lines []int
	for _, f := range check.Faults {
		lines = append(lines, f.Line)
	}
	is.Equal(lines, []int{1, 2, 5, 8})
	var fault *servicefile.FaultError
	is.True(errors.As(err, &fault))
}

func TestCheckAcrossFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(dir+"/a.json", []byte(smallFile), 0o600))
	is.NoErr(os.WriteFile(dir+"/b.json", []byte(smallFile), 0o600))
	_, err := servicefile.ReadPaths(dir, dir+"/a.json")
	var check *servicefile.CheckError
	is.True(errors.As(err, &check))
	is.Equal(len(check.Faults), 4)
	is.Equal(check.Faults[3].Error(), dir+`/b.json:5:30: address "10.0.0.1:5432" is in `+dir+`/a.json too; give each its own, or remove one`)
}
