package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Decoder walks the syntax tree of one file and collects its faults:
//
//	d := jsonc.New("settings.json", text)
//	if o, ok := d.Parse("vm", "callers"); ok {
//		s.VM = o.Identifier("vm", true)
//	}
//	return s, d.Err()
type Decoder struct {
	name   string
	text   []byte
	faults []*FaultError
}

// New returns a decoder of a file's text.
func New(name string, text []byte) *Decoder {
	return &Decoder{name: name, text: text}
}

// Err returns a *CheckError with all faults found so far, or nil.
func (d *Decoder) Err() error { return NewCheckError(d.faults) }

// Parse parses the text, which must be one object whose keys are all among the given
// ones, and returns that object.
func (d *Decoder) Parse(keys ...string) (Object, bool) {
	v, err := hujson.Parse(d.text)
	if err != nil {
		d.syntaxFault(err)
		return Object{}, false
	}
	return d.object(v, "the file", keys)
}

func (d *Decoder) syntaxFault(err error) {
	f := &FaultError{File: d.name, Line: 1, Column: 1, What: err.Error(), Fix: "write JSON; comments and trailing commas are allowed"}
	const format = "hujson: line %d, column %d:"
	if n, _ := fmt.Sscanf(err.Error(), format, &f.Line, &f.Column); n == 2 {
		if cause := errors.Unwrap(err); cause != nil {
			f.What = cause.Error()
		}
	}
	d.faults = append(d.faults, f)
}

func (d *Decoder) fault(offset int, what, fix string) {
	before := d.text[:min(offset, len(d.text))]
	d.faults = append(d.faults, &FaultError{
		File:   d.name,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		What:   what,
		Fix:    fix,
	})
}

func (d *Decoder) wrongType(v hujson.Value, subject, want string) {
	d.fault(v.StartOffset, subject+" has the wrong type", "write "+want)
}

// object checks that v is an object with known keys and no duplicate keys.
func (d *Decoder) object(v hujson.Value, subject string, keys []string) (Object, bool) {
	o := Object{d: d, subject: subject, offset: v.StartOffset, fields: make(map[string]hujson.Value)}
	tree, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, subject, "an object in braces")
		return o, false
	}
	for _, m := range tree.Members {
		key := m.Name.Value.(hujson.Literal).String()
		_, duplicate := o.fields[key]
		switch {
		case !slices.Contains(keys, key):
			d.fault(m.Name.StartOffset, fmt.Sprintf("%s has the unknown key %q", subject, key),
				"remove it, or use one of "+strings.Join(keys, ", "))
		case duplicate:
			d.fault(m.Name.StartOffset, fmt.Sprintf("%s has the key %q twice", subject, key), "remove one of them")
		default:
			o.fields[key] = m.Value
		}
	}
	return o, true
}
