package servicefile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// decoder walks the syntax tree of one file and collects its faults.
type decoder struct {
	name      string
	faults    []*FaultError
	positions positions
	// lines holds the offset at which each line starts.
	lines []int
}

func newDecoder(name string, text []byte) *decoder {
	d := &decoder{name: name, positions: make(positions), lines: []int{0}}
	for i, c := range text {
		if c == '\n' {
			d.lines = append(d.lines, i+1)
		}
	}
	return d
}

func (d *decoder) fault(offset int, what, fix string) {
	at := d.position(offset)
	d.faults = append(d.faults, &FaultError{
		File: d.name, Line: at.line, Column: at.column, What: what, Fix: fix,
	})
}

func (d *decoder) position(offset int) position {
	line, found := slices.BinarySearch(d.lines, offset)
	if !found {
		line--
	}
	return position{line: line + 1, column: offset - d.lines[line] + 1}
}

// recordName keeps the position of a name. It reports a fault if the file
// contains the name twice.
func (d *decoder) recordName(kind, name string, offset int) {
	key := nameKey{kind, name}
	if first, ok := d.positions[key]; ok {
		d.fault(offset, fmt.Sprintf("%s %q is given twice, first on line %d", kind, name, first.line),
			"give each its own, or remove one")
		return
	}
	d.positions[key] = d.position(offset)
}

// object is a JSON object whose keys have been checked.
type object struct {
	d *decoder
	// subject names the object in messages, such as `class "c"`.
	subject string
	offset  int
	fields  map[string]hujson.Value
}

// object checks that v is an object with known keys and no duplicate keys.
func (d *decoder) object(v hujson.Value, subject string, keys ...string) (object, bool) {
	members, ok := d.members(v, subject)
	o := object{d: d, subject: subject, offset: v.StartOffset, fields: make(map[string]hujson.Value)}
	for _, m := range members {
		key := m.Name.Value.(hujson.Literal).String()
		if !slices.Contains(keys, key) {
			d.fault(m.Name.StartOffset, fmt.Sprintf("%s has the unknown key %q", subject, key),
				"remove it, or use one of "+strings.Join(keys, ", "))
			continue
		}
		o.fields[key] = m.Value
	}
	return o, ok
}

// members returns the members of an object, without those with a duplicate key.
func (d *decoder) members(v hujson.Value, subject string) ([]hujson.ObjectMember, bool) {
	tree, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, subject, "an object in braces")
		return nil, false
	}
	seen := make(map[string]bool)
	var members []hujson.ObjectMember
	for _, m := range tree.Members {
		key := m.Name.Value.(hujson.Literal).String()
		if seen[key] {
			d.fault(m.Name.StartOffset, fmt.Sprintf("%s has the key %q twice", subject, key), "remove one of them")
			continue
		}
		seen[key] = true
		members = append(members, m)
	}
	return members, true
}

// elements returns the elements of a required list, which must not be empty.
func (o object) elements(key string) []hujson.Value {
	v, ok := o.required(key)
	if !ok {
		return nil
	}
	tree, ok := v.Value.(*hujson.Array)
	if !ok {
		o.d.wrongType(v, o.label(key), "a list in brackets")
		return nil
	}
	if len(tree.Elements) == 0 {
		o.d.fault(v.StartOffset, o.label(key)+" is empty", "give at least one entry")
	}
	return tree.Elements
}

func (o object) required(key string) (hujson.Value, bool) {
	v, ok := o.fields[key]
	if !ok {
		o.d.fault(o.offset, fmt.Sprintf("%s lacks the key %q", o.subject, key), "add it")
	}
	return v, ok
}

func (o object) label(key string) string { return fmt.Sprintf("%q of %s", key, o.subject) }

// at returns the offset of a field's value, or that of the object if the field is
// absent.
func (o object) at(key string) int {
	if v, ok := o.fields[key]; ok {
		return v.StartOffset
	}
	return o.offset
}

// text returns a required string.
func (o object) text(key string) (string, bool) {
	v, ok := o.required(key)
	if !ok {
		return "", false
	}
	return o.d.textOf(v, o.label(key))
}

func (d *decoder) textOf(v hujson.Value, subject string) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.wrongType(v, subject, "a string in quotes")
		return "", false
	}
	s := lit.String()
	if s == "" || !utf8.ValidString(s) {
		d.fault(v.StartOffset, subject+" is empty or not UTF-8", "give a non-empty UTF-8 string")
		return "", false
	}
	return s, true
}

// identifier returns a required name of lower-case letters, digits, '-' and '_'.
func (o object) identifier(key string) (string, bool) {
	s, ok := o.text(key)
	if ok && !validIdentifier(s) {
		o.d.fault(o.at(key), fmt.Sprintf("%s, %q, is not a valid name", o.label(key), s),
			"use up to 63 lower-case letters, digits, '-' and '_', a letter or digit first")
		return "", false
	}
	return s, ok
}

func validIdentifier(s string) bool {
	if s == "" || len(s) > 63 {
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

// duration returns a duration. A required one must be above zero.
func (o object) duration(key string, required bool) time.Duration {
	if _, ok := o.fields[key]; !ok && !required {
		return 0
	}
	s, ok := o.text(key)
	if !ok {
		return 0
	}
	t, err := time.ParseDuration(s)
	if err != nil || t < 0 || required && t == 0 {
		o.d.fault(o.at(key), fmt.Sprintf("%s, %q, is not a valid duration", o.label(key), s),
			`write a number and a unit, such as "150ms" or "2s"`)
		return 0
	}
	return t
}

// number returns the source text of a number. The field must be present: an
// absent one is reported as having the wrong type.
func (o object) number(key string) (string, bool) {
	v := o.fields[key]
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		o.d.wrongType(v, o.label(key), "a number")
		return "", false
	}
	return string(lit), true
}

// integer returns an integer within bounds. As for number, the field must be
// present.
func (o object) integer(key string, low, high int) int {
	s, ok := o.number(key)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < low || n > high {
		o.d.fault(o.at(key), fmt.Sprintf("%s is %s", o.label(key), s),
			fmt.Sprintf("give a whole number from %d to %d", low, high))
		return 0
	}
	return n
}

// boolean returns an optional field whose default is false.
func (o object) boolean(key string) bool {
	v, ok := o.fields[key]
	if !ok {
		return false
	}
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != 't' && lit.Kind() != 'f' {
		o.d.wrongType(v, o.label(key), "true or false")
		return false
	}
	return lit.Kind() == 't'
}

func (d *decoder) wrongType(v hujson.Value, subject, want string) {
	d.fault(v.StartOffset, subject+" has the wrong type", "write "+want)
}
