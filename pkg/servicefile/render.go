package servicefile

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder"
)

type fileJSON struct {
	Service      chervilladder.ServiceID `json:"service"`
	DefaultClass chervilladder.ClassID   `json:"default-class"`
	Databases    []databaseJSON          `json:"databases"`
	Classes      []classJSON             `json:"classes"`
	Roles        orderedRoles            `json:"roles,omitempty"`
}

type databaseJSON struct {
	Name      chervilladder.DatabaseID `json:"name"`
	Upstreams []upstreamJSON           `json:"upstreams"`
}

type upstreamJSON struct {
	Name        chervilladder.UpstreamID   `json:"name"`
	Address     chervilladder.Address      `json:"address"`
	DataCentre  chervilladder.DataCentreID `json:"data-centre"`
	Slots       int                        `json:"slots"`
	Connections int                        `json:"connections"`
	Leaving     bool                       `json:"leaving,omitempty"`
}

type classJSON struct {
	Name             chervilladder.ClassID `json:"name"`
	Priority         string                `json:"priority"`
	Target           string                `json:"target"`
	Deadline         string                `json:"deadline"`
	Idempotent       bool                  `json:"idempotent,omitempty"`
	AcceptedAge      string                `json:"accepted-age,omitempty"`
	Confirm          string                `json:"confirm"`
	FloorPercent     int                   `json:"floor-percent"`
	ObjectivePercent float64               `json:"objective-percent"`
}

// orderedRoles is encoded as an object whose keys keep the order of the file.
type orderedRoles []Role

// MarshalJSON writes the roles as an object.
func (r orderedRoles) MarshalJSON() ([]byte, error) {
	out := []byte{'{'}
	for i, role := range r {
		if i > 0 {
			out = append(out, ',')
		}
		name, err := json.Marshal(role.Name)
		if err != nil {
			return nil, err
		}
		class, err := json.Marshal(role.Class)
		if err != nil {
			return nil, err
		}
		out = append(append(append(out, name...), ':'), class...)
	}
	return append(out, '}'), nil
}

// Render returns the file's text in canonical form, with every default stated and
// without comments. Parsing it gives a file with an equal service, default class,
// databases, classes and roles.
func (f *File) Render() ([]byte, error) {
	out := fileJSON{Service: f.Service, DefaultClass: f.DefaultClass, Roles: f.Roles}
	for _, db := range f.Databases {
		out.Databases = append(out.Databases, renderDatabase(db))
	}
	for _, c := range f.Classes {
		out.Classes = append(out.Classes, renderClass(c))
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("service file %s: %w", f.Name, err)
	}
	return append(text, '\n'), nil
}

func renderDatabase(db chervilladder.Database) databaseJSON {
	out := databaseJSON{Name: db.ID}
	for _, u := range db.Upstreams {
		out.Upstreams = append(out.Upstreams, upstreamJSON{
			Name: u.ID, Address: u.Address, DataCentre: u.DataCentre,
			Slots: u.Slots, Connections: u.Connections, Leaving: u.Leaving,
		})
	}
	return out
}

func renderClass(c chervilladder.Class) classJSON {
	out := classJSON{
		Name: c.ID, Priority: c.Priority.String(),
		Target: c.Target.String(), Deadline: c.Deadline.String(),
		Idempotent: c.Idempotent, Confirm: "primary",
		FloorPercent: c.FloorPercent, ObjectivePercent: c.ObjectivePercent,
	}
	if c.Confirm == chervilladder.ConfirmReplica {
		out.Confirm = "replica"
	}
	if c.AcceptedAge > time.Duration(0) {
		out.AcceptedAge = c.AcceptedAge.String()
	}
	return out
}
