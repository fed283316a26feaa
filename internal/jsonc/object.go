package jsonc

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/chervilladder/chervilladder"
)

// Object is a JSON object whose keys have been checked. Unless they say otherwise,
// its methods return the zero value for a field that is absent or invalid.
type Object struct {
	d      *Decoder
	what   string
	offset int
	fields map[string]hujson.Value
}

// Presence says whether a field is required.
type Presence bool

// The values of Presence.
const (
	Optional Presence = false
	Required Presence = true
)

// Fault records a fault of a field.
func (o Object) Fault(key, what, fix string) {
	o.d.fault(o.at(key), o.label(key)+what, fix)
}

// Has reports whether the object has a field.
func (o Object) Has(key string) bool {
	_, ok := o.fields[key]
	return ok
}

func (o Object) label(key string) string { return fmt.Sprintf("%q of %s", key, o.what) }

// at returns the offset of a field's value, or that of the object if the field is
// absent.
func (o Object) at(key string) int {
	if v, ok := o.fields[key]; ok {
		return v.StartOffset
	}
	return o.offset
}

func (o Object) field(key string, p Presence) (hujson.Value, bool) {
	v, ok := o.fields[key]
	if !ok && p == Required {
		o.d.fault(o.offset, fmt.Sprintf("%s lacks the key %q", o.what, key), "add it")
	}
	return v, ok
}

// Text returns a non-empty string.
func (o Object) Text(key string, p Presence) string {
	v, ok := o.field(key, p)
	if !ok {
		return ""
	}
	return o.d.textOf(v, o.label(key))
}

func (d *Decoder) textOf(v hujson.Value, what string) string {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.wrongType(v, what, "a string in quotes")
		return ""
	}
	s := lit.String()
	if s == "" || !utf8.ValidString(s) {
		d.fault(v.StartOffset, what+" is empty or not UTF-8", "give a non-empty UTF-8 string")
		return ""
	}
	return s
}

// maxIdentifier is the maximum length of a name.
const maxIdentifier = 63

// Identifier returns a name of lower-case letters, digits, '-' and '_'.
func (o Object) Identifier(key string, p Presence) string {
	s := o.Text(key, p)
	if s != "" && !validIdentifier(s) {
		o.Fault(key, fmt.Sprintf(", %q, is not a valid name", s),
			"use up to 63 lower-case letters, digits, '-' and '_', a letter or digit first")
		return ""
	}
	return s
}

func validIdentifier(s string) bool {
	if len(s) > maxIdentifier {
		return false
	}
	for i, c := range []byte(s) {
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '-' && c != '_') {
			return false
		}
	}
	return true
}

// Enum returns one of the given values, or the first of them if the field is
// absent or invalid.
func (o Object) Enum(key string, values ...string) string {
	s := o.Text(key, Optional)
	if s == "" {
		return values[0]
	}
	if !slices.Contains(values, s) {
		o.Fault(key, fmt.Sprintf(" is %q", s), "use one of "+strings.Join(values, ", "))
		return values[0]
	}
	return s
}

// Address returns an IP address and a port in canonical form.
func (o Object) Address(key string, p Presence) chervilladder.Address {
	v, ok := o.field(key, p)
	if !ok {
		return ""
	}
	return o.d.address(v, o.label(key))
}

// Addresses returns a list of addresses without duplicates.
func (o Object) Addresses(key string, p Presence) []chervilladder.Address {
	v, ok := o.field(key, p)
	if !ok {
		return nil
	}
	tree, ok := v.Value.(*hujson.Array)
	if !ok {
		o.d.wrongType(v, o.label(key), "a list in brackets")
		return nil
	}
	var list []chervilladder.Address
	for _, e := range tree.Elements {
		a := o.d.address(e, "an entry of "+o.label(key))
		if a != "" && slices.Contains(list, a) {
			o.d.fault(e.StartOffset, fmt.Sprintf("%s has %s twice", o.label(key), a), "remove one of them")
			continue
		}
		if a != "" {
			list = append(list, a)
		}
	}
	return list
}

func (d *Decoder) address(v hujson.Value, what string) chervilladder.Address {
	s := d.textOf(v, what)
	if s == "" {
		return ""
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		d.fault(v.StartOffset, fmt.Sprintf("%s, %q, is not an IP address and a port", what, s),
			`write an IP address and a port, such as "10.0.0.7:5432"`)
		return ""
	}
	return chervilladder.Address(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String())
}

// Duration returns a duration within bounds, or a default value if the field is
// absent or invalid.
func (o Object) Duration(key string, low, high, value time.Duration) time.Duration {
	if !o.Has(key) {
		return value
	}
	s := o.Text(key, Required)
	if s == "" {
		return value
	}
	t, err := time.ParseDuration(s)
	if err != nil || t < low || t > high {
		o.Fault(key, fmt.Sprintf(", %q, is not a duration from %s to %s", s, low, high),
			`write a number and a unit within these bounds, such as "150ms" or "2s"`)
		return value
	}
	return t
}
