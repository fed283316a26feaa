package servicefile

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/chervilladder/chervilladder"
)

// The limits and defaults of numbers in a service file.
const (
	maxSlots                = 1000
	maxConnections          = 10000
	defaultObjectivePercent = 99.0
)

// Parse parses one service file and makes all checks that don't need the other
// files. Its error is a *CheckError with every fault.
func Parse(name string, text []byte) (*File, error) {
	f, faults := parse(name, text)
	if err := checkError(faults); err != nil {
		return nil, err
	}
	return f, nil
}

// parse returns the file, with zero values for invalid fields, and its faults. If
// there are faults, the file may also hold duplicate classes and names of classes
// that it does not define.
func parse(name string, text []byte) (*File, []*FaultError) {
	d := newDecoder(name, text)
	if len(text) > MaxBytes {
		d.fault(0, fmt.Sprintf("the file has %d bytes", len(text)),
			fmt.Sprintf("split the service; a file holds up to %d bytes", MaxBytes))
		return &File{Name: name}, d.faults
	}
	v, err := hujson.Parse(text)
	if err != nil {
		d.syntaxFault(err)
		return &File{Name: name}, d.faults
	}
	f := d.file(v)
	f.Name, f.Text, f.positions = name, string(text), d.positions
	return f, d.faults
}

func (d *decoder) syntaxFault(err error) {
	f := &FaultError{File: d.name, Line: 1, Column: 1, What: err.Error(), Fix: "write JSON; comments and trailing commas are allowed"}
	const format = "hujson: line %d, column %d:"
	if n, _ := fmt.Sscanf(err.Error(), format, &f.Line, &f.Column); n == 2 {
		if cause := errors.Unwrap(err); cause != nil {
			f.What = cause.Error()
		}
	}
	d.faults = append(d.faults, f)
}

func (d *decoder) file(v hujson.Value) *File {
	f := &File{}
	o, ok := d.object(v, "the file", "service", "default-class", "databases", "classes", "roles")
	if !ok {
		return f
	}
	if s, ok := o.identifier("service"); ok {
		f.Service = chervilladder.ServiceID(s)
		d.recordName(kindService, s, o.at("service"))
	}
	for _, e := range o.elements("databases") {
		f.Databases = append(f.Databases, d.database(e, f.Service))
	}
	f.Classes = d.classes(o)
	f.DefaultClass = d.defaultClass(o, f.Classes)
	f.Roles = d.roles(o, f.Classes)
	return f
}

func (d *decoder) defaultClass(o object, classes []chervilladder.Class) chervilladder.ClassID {
	s, ok := o.text("default-class")
	if ok {
		d.checkClassDefined(s, o.at("default-class"), `"default-class"`, classes)
	}
	return chervilladder.ClassID(s)
}

// checkClassDefined records a fault if no class has the given name. The subject is
// what names the class.
func (d *decoder) checkClassDefined(name string, offset int, subject string, classes []chervilladder.Class) {
	for _, c := range classes {
		if string(c.ID) == name {
			return
		}
	}
	d.fault(offset, fmt.Sprintf("%s names the class %q, which the file does not define", subject, name),
		`name one of "classes", or add it there`)
}

func (d *decoder) roles(o object, classes []chervilladder.Class) []Role {
	v, ok := o.fields["roles"]
	if !ok {
		return nil
	}
	var roles []Role
	members, _ := d.members(v, `"roles"`)
	for _, m := range members {
		subject := fmt.Sprintf("role %q", m.Name.Value.(hujson.Literal).String())
		role, ok := d.textOf(m.Name, "the name of a role")
		if !ok {
			continue
		}
		class, ok := d.textOf(m.Value, subject)
		if !ok {
			continue
		}
		d.checkClassDefined(class, m.Value.StartOffset, subject, classes)
		roles = append(roles, Role{Name: role, Class: chervilladder.ClassID(class)})
	}
	return roles
}

func (d *decoder) database(v hujson.Value, service chervilladder.ServiceID) chervilladder.Database {
	db := chervilladder.Database{Service: service}
	o, ok := d.object(v, "a database", "name", "upstreams")
	if !ok {
		return db
	}
	if s, ok := o.identifier("name"); ok {
		db.ID = chervilladder.DatabaseID(s)
		d.recordName(kindDatabase, s, o.at("name"))
		o.subject = fmt.Sprintf("database %q", s)
	}
	for _, e := range o.elements("upstreams") {
		db.Upstreams = append(db.Upstreams, d.upstream(e, db.ID))
	}
	return db
}

func (d *decoder) upstream(v hujson.Value, db chervilladder.DatabaseID) chervilladder.Upstream {
	u := chervilladder.Upstream{Database: db}
	o, ok := d.object(v, "an upstream", "name", "address", "data-centre", "slots", "connections", "leaving")
	if !ok {
		return u
	}
	if s, ok := o.identifier("name"); ok {
		u.ID = chervilladder.UpstreamID(s)
		d.recordName(kindUpstream, s, o.at("name"))
		o.subject = fmt.Sprintf("upstream %q", s)
	}
	u.Address = d.address(o)
	centre, _ := o.identifier("data-centre")
	u.DataCentre = chervilladder.DataCentreID(centre)
	if _, ok := o.required("slots"); ok {
		u.Slots = o.integer("slots", 1, maxSlots)
	}
	if _, ok := o.required("connections"); ok {
		u.Connections = o.integer("connections", 1, maxConnections)
	}
	if u.Connections > 0 && u.Connections < u.Slots {
		d.fault(o.at("connections"), fmt.Sprintf("%s has %d connections for %d slots", o.subject, u.Connections, u.Slots),
			"give at least one connection for each slot")
	}
	u.Leaving = o.boolean("leaving")
	return u
}

// address returns an IP address and a port in canonical form.
func (d *decoder) address(o object) chervilladder.Address {
	s, ok := o.text("address")
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		d.fault(o.at("address"), fmt.Sprintf("%s, %q, is not an IP address and a port", o.label("address"), s),
			`write the upstream's IP address and port, such as "10.0.0.7:5432"`)
		return ""
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	d.recordName(kindAddress, a.String(), o.at("address"))
	return chervilladder.Address(a.String())
}

func (d *decoder) classes(o object) []chervilladder.Class {
	var classes []chervilladder.Class
	floors := 0
	seen := make(map[chervilladder.ClassID]bool)
	for _, e := range o.elements("classes") {
		c := d.class(e)
		if c.ID != "" && seen[c.ID] {
			d.fault(e.StartOffset, fmt.Sprintf("class %q is given twice", c.ID), "rename or remove one of them")
		}
		seen[c.ID] = true
		floors += c.FloorPercent
		classes = append(classes, c)
	}
	if floors > 100 {
		d.fault(o.at("classes"), fmt.Sprintf(`the values of "floor-percent" sum to %d`, floors),
			"lower some, so that the sum is at most 100")
	}
	return classes
}

func (d *decoder) class(v hujson.Value) chervilladder.Class {
	c := chervilladder.Class{ObjectivePercent: defaultObjectivePercent}
	o, ok := d.object(v, "a class", "name", "priority", "target", "deadline", "idempotent",
		"accepted-age", "confirm", "floor-percent", "objective-percent")
	if !ok {
		return c
	}
	if s, ok := o.identifier("name"); ok {
		c.ID = chervilladder.ClassID(s)
		o.subject = fmt.Sprintf("class %q", s)
	}
	c.Priority = d.priority(o)
	c.Target = o.duration("target", true)
	c.Deadline = o.duration("deadline", true)
	if c.Deadline > 0 && c.Target > c.Deadline {
		d.fault(o.at("target"), fmt.Sprintf("%s has a target of %s over its deadline of %s", o.subject, c.Target, c.Deadline),
			"lower the target or raise the deadline")
	}
	c.Idempotent = o.boolean("idempotent")
	c.AcceptedAge = o.duration("accepted-age", false)
	c.Confirm = d.confirm(o)
	if _, ok := o.fields["floor-percent"]; ok {
		c.FloorPercent = o.integer("floor-percent", 0, 100)
	}
	if _, ok := o.fields["objective-percent"]; ok {
		c.ObjectivePercent = d.objective(o)
	}
	return c
}

func (d *decoder) priority(o object) chervilladder.Priority {
	s, ok := o.text("priority")
	if !ok {
		return 0
	}
	p, ok := chervilladder.ParsePriority(s)
	if !ok {
		d.fault(o.at("priority"), fmt.Sprintf("%s is %q", o.label("priority"), s),
			"use urgent, normal or background")
	}
	return p
}

func (d *decoder) confirm(o object) chervilladder.Confirm {
	if _, ok := o.fields["confirm"]; !ok {
		return chervilladder.ConfirmPrimary
	}
	s, ok := o.text("confirm")
	switch {
	case !ok || s == "primary":
		return chervilladder.ConfirmPrimary
	case s == "replica":
		return chervilladder.ConfirmReplica
	default:
		d.fault(o.at("confirm"), fmt.Sprintf("%s is %q", o.label("confirm"), s), "use primary or replica")
		return chervilladder.ConfirmPrimary
	}
}

func (d *decoder) objective(o object) float64 {
	s, ok := o.number("objective-percent")
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || n < 0 || n > 100 {
		d.fault(o.at("objective-percent"), fmt.Sprintf("%s is %s", o.label("objective-percent"), s),
			"give a number from 0 to 100")
		return 0
	}
	return n
}
