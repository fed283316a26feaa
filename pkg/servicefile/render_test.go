package servicefile_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// The seed is fixed, so that runs are reproducible; -rapid.seed on the command
// line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// drawFile draws a valid file.
func drawFile(t *rapid.T) servicefile.File {
	f := servicefile.File{Service: "service", DefaultClass: "class-0"}
	for i := range rapid.IntRange(1, 4).Draw(t, "databases") {
		f.Databases = append(f.Databases, drawDatabase(t, f.Service, i))
	}
	floorLeft := 100
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		c := drawClass(t, i, floorLeft)
		floorLeft -= c.FloorPercent
		f.Classes = append(f.Classes, c)
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "roles") {
		role := rapid.StringN(0, 8, -1).Draw(t, "role") + fmt.Sprint(i)
		f.Roles = append(f.Roles, servicefile.Role{Name: role, Class: "class-0"})
	}
	return f
}

func drawDatabase(t *rapid.T, service chervilladder.ServiceID, i int) chervilladder.Database {
	db := chervilladder.Database{ID: chervilladder.DatabaseID(fmt.Sprintf("database-%d", i)), Service: service}
	for j := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		slots := rapid.IntRange(1, 1000).Draw(t, "slots")
		db.Upstreams = append(db.Upstreams, chervilladder.Upstream{
			ID:          chervilladder.UpstreamID(fmt.Sprintf("%s-%d", db.ID, j)),
			Database:    db.ID,
			Address:     chervilladder.Address(fmt.Sprintf("10.0.%d.%d:5432", i, j)),
			DataCentre:  chervilladder.DataCentreID(rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`).Draw(t, "data-centre")),
			Slots:       slots,
			Connections: rapid.IntRange(slots, 10000).Draw(t, "connections"),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
		})
	}
	return db
}

func drawClass(t *rapid.T, i, floorLeft int) chervilladder.Class {
	deadline := rapid.Int64Range(1, int64(time.Hour)).Draw(t, "deadline")
	return chervilladder.Class{
		ID:               chervilladder.ClassID(fmt.Sprintf("class-%d", i)),
		Priority:         chervilladder.Priority(rapid.IntRange(0, chervilladder.PriorityCount-1).Draw(t, "priority")),
		Target:           time.Duration(rapid.Int64Range(1, deadline).Draw(t, "target")),
		Deadline:         time.Duration(deadline),
		Idempotent:       rapid.Bool().Draw(t, "idempotent"),
		AcceptedAge:      time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "accepted-age")),
		Confirm:          chervilladder.Confirm(rapid.IntRange(0, 1).Draw(t, "confirm")),
		FloorPercent:     rapid.IntRange(0, floorLeft).Draw(t, "floor-percent"),
		ObjectivePercent: rapid.Float64Range(0, 100).Draw(t, "objective-percent"),
	}
}

func TestRenderIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.NewRelaxed(t)
		f := drawFile(rt)
		text, err := f.Render()
		is.NoErr(err)
		parsed, err := servicefile.Parse("drawn", text)
		if err != nil {
			rt.Fatalf("%v\n%s", err, text)
		}
		is.Equal(parsed.Databases, f.Databases)
		is.Equal(parsed.Classes, f.Classes)
		is.Equal(parsed.Roles, f.Roles)
		again, err := parsed.Render()
		is.NoErr(err)
		is.Equal(string(again), string(text))
		if t.Failed() {
			rt.FailNow()
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallFile))
	f.Add(bytes.Repeat([]byte("["), servicefile.MaxBytes))
	f.Add(bytes.Repeat([]byte("{}\n"), servicefile.MaxBytes/3))
	for _, name := range []string{"agenda-salas", "case-registry"} {
		text, err := os.ReadFile("../../examples/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		file, err := servicefile.Parse("fuzz", text)
		if err != nil {
			var check *servicefile.CheckError
			is.True(errors.As(err, &check))
			is.True(check.Faults[0].Line > 0)
			return
		}
		once, err := file.Render()
		is.NoErr(err)
		parsed, err := servicefile.Parse("fuzz", once)
		is.NoErr(err)
		twice, err := parsed.Render()
		is.NoErr(err)
		is.Equal(string(twice), string(once))
	})
}
