package servicefile_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := servicefile.ReadPaths("../../examples")
	is.NoErr(err)
	c, err := servicefile.Catalogue(7, files)
	is.NoErr(err)
	is.Equal(c.Revision, chervilladder.Revision(7))
	is.Equal(len(c.Services), 2)
	is.Equal(len(c.Databases), 6)
	u := c.Databases["agenda-3"].Upstreams[1]
	is.Equal(u.Address, chervilladder.Address("127.0.0.1:21032"))
	is.Equal(u.DataCentre, chervilladder.DataCentreID("cr-central-b"))
	is.Equal(c.Databases["cases-2"].Upstreams[2].Address, chervilladder.Address("127.0.0.1:22023"))
	is.Equal(c.Services["case-registry"].Classes["filing"].Confirm, chervilladder.ConfirmReplica)
	is.Equal(c.Services["agenda-salas"].RoleClasses["clerk"], chervilladder.ClassID("confirmation"))
}
