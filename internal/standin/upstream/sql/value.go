package sql

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Type is a data type, by its OID in PostgreSQL.
type Type uint32

// The supported types, by OID.
const (
	TypeUnknown     Type = 0
	TypeBool        Type = 16
	TypeInt8        Type = 20
	TypeInt2        Type = 21
	TypeInt4        Type = 23
	TypeText        Type = 25
	TypeFloat8      Type = 701
	TypeVarchar     Type = 1043
	TypeTimestamptz Type = 1184
	TypeXID8        Type = 5069
)

// typeNames are the type names that a cast accepts.
var typeNames = map[string]Type{
	"bool": TypeBool, "boolean": TypeBool,
	"int8": TypeInt8, "bigint": TypeInt8,
	"int2": TypeInt2, "smallint": TypeInt2,
	"int4": TypeInt4, "int": TypeInt4, "integer": TypeInt4,
	"text": TypeText, "varchar": TypeVarchar, "name": TypeText, "uuid": TypeText,
	"float8": TypeFloat8, "double": TypeFloat8, "float": TypeFloat8, "numeric": TypeFloat8,
	"timestamptz": TypeTimestamptz, "xid8": TypeXID8,
}

// Size returns the length of a binary value of the type in bytes, or -1 for a
// type of variable length.
func (t Type) Size() int16 {
	switch t {
	case TypeBool:
		return 1
	case TypeInt2:
		return 2
	case TypeInt4:
		return 4
	case TypeInt8, TypeFloat8, TypeTimestamptz, TypeXID8:
		return 8
	default:
		return -1
	}
}

// Integer reports whether the type is an integer type.
func (t Type) Integer() bool {
	switch t {
	case TypeInt2, TypeInt4, TypeInt8, TypeXID8:
		return true
	default:
		return false
	}
}

// Value is a value of any type, in the protocol's text format.
type Value struct {
	Type Type
	Null bool
	Text string
}

// Null returns NULL of a type.
func Null(t Type) Value { return Value{Type: t, Null: true} }

// Text returns a text value.
func Text(s string) Value { return Value{Type: TypeText, Text: s} }

// Int returns an eight-byte integer value.
func Int(n int64) Value { return Value{Type: TypeInt8, Text: strconv.FormatInt(n, 10)} }

// Bool returns a boolean value.
func Bool(b bool) Value {
	if b {
		return Value{Type: TypeBool, Text: "t"}
	}
	return Value{Type: TypeBool, Text: "f"}
}

// Timestamp returns a timestamp value.
func Timestamp(t time.Time) Value {
	return Value{Type: TypeTimestamptz, Text: t.UTC().Format(timestampFormat)}
}

const timestampFormat = "2006-01-02 15:04:05.999999+00"

// epoch is the time that binary timestamps count from.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// True reports whether the value is true. NULL is not true.
func (v Value) True() bool { return !v.Null && v.Type == TypeBool && v.Text == "t" }

// Int64 parses the value as an integer.
func (v Value) Int64() (int64, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(v.Text), 10, 64)
	if err != nil {
		return 0, &ValueError{Type: TypeInt8, Text: v.Text}
	}
	return n, nil
}

// Float64 parses the value as a floating-point number.
func (v Value) Float64() (float64, error) {
	f, err := strconv.ParseFloat(strings.TrimSpace(v.Text), 64)
	if err != nil {
		return 0, &ValueError{Type: TypeFloat8, Text: v.Text}
	}
	return f, nil
}

// ValueError reports a text that isn't a valid value of a type.
type ValueError struct {
	Type Type
	Text string
}

// Error returns PostgreSQL's message for invalid input.
func (e *ValueError) Error() string {
	return fmt.Sprintf("invalid input syntax for type %s: %q", e.Type, e.Text)
}

// String returns the type's name.
func (t Type) String() string {
	switch t {
	case TypeBool:
		return "boolean"
	case TypeInt2:
		return "smallint"
	case TypeInt4:
		return "integer"
	case TypeInt8:
		return "bigint"
	case TypeFloat8:
		return "double precision"
	case TypeTimestamptz:
		return "timestamp with time zone"
	case TypeXID8:
		return "xid8"
	default:
		return "text"
	}
}

// Convert converts the value to another type.
func (v Value) Convert(t Type) (Value, error) {
	if v.Null || t == TypeUnknown {
		return Value{Type: t, Null: v.Null, Text: v.Text}, nil
	}
	text := v.Text
	switch t {
	case TypeBool:
		b, err := parseBool(v.Text)
		if err != nil {
			return Value{}, err
		}
		return Bool(b), nil
	case TypeInt2, TypeInt4, TypeInt8, TypeXID8:
		n, err := v.integer()
		if err != nil || n < minimum(t) || n > maximum(t) {
			return Value{}, &ValueError{Type: t, Text: v.Text}
		}
		text = strconv.FormatInt(n, 10)
	case TypeFloat8:
		f, err := v.Float64()
		if err != nil {
			return Value{}, err
		}
		text = strconv.FormatFloat(f, 'g', -1, 64)
	}
	return Value{Type: t, Text: text}, nil
}

// integer returns the value as an integer. A floating-point value is rounded,
// half to even.
func (v Value) integer() (int64, error) {
	if v.Type != TypeFloat8 {
		return v.Int64()
	}
	f, err := v.Float64()
	return int64(math.RoundToEven(f)), err
}

func minimum(t Type) int64 {
	switch t {
	case TypeInt2:
		return math.MinInt16
	case TypeInt4:
		return math.MinInt32
	case TypeXID8:
		return 0
	default:
		return math.MinInt64
	}
}

func maximum(t Type) int64 {
	switch t {
	case TypeInt2:
		return math.MaxInt16
	case TypeInt4:
		return math.MaxInt32
	default:
		return math.MaxInt64
	}
}

func parseBool(s string) (bool, error) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "yes", "on", "1":
		return true, nil
	case "f", "false", "no", "off", "0":
		return false, nil
	default:
		return false, &ValueError{Type: TypeBool, Text: s}
	}
}

// errBinaryLength reports a binary value of the wrong length.
var errBinaryLength = errors.New("incorrect binary data format")

// Decode decodes a value of a type from the protocol's binary format.
func Decode(t Type, data []byte) (Value, error) {
	if size := t.Size(); size >= 0 && len(data) != int(size) {
		return Value{}, errBinaryLength
	}
	v := Value{Type: t}
	switch t {
	case TypeBool:
		return Bool(data[0] != 0), nil
	case TypeInt2:
		v.Text = strconv.Itoa(int(int16(binary.BigEndian.Uint16(data))))
	case TypeInt4:
		v.Text = strconv.Itoa(int(int32(binary.BigEndian.Uint32(data))))
	case TypeInt8, TypeXID8:
		v.Text = strconv.FormatInt(int64(binary.BigEndian.Uint64(data)), 10)
	case TypeFloat8:
		v.Text = strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(data)), 'g', -1, 64)
	case TypeTimestamptz:
		micros := int64(binary.BigEndian.Uint64(data))
		v.Text = epoch.Add(time.Duration(micros) * time.Microsecond).Format(timestampFormat)
	default:
		v.Text = string(data)
	}
	return v, nil
}

// Encode encodes the value, which must not be NULL, in the protocol's binary
// format.
func (v Value) Encode() ([]byte, error) {
	switch v.Type {
	case TypeBool:
		if v.True() {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case TypeInt2, TypeInt4, TypeInt8, TypeXID8:
		n, err := v.Int64()
		wide := binary.BigEndian.AppendUint64(nil, uint64(n))
		return wide[8-v.Type.Size():], err
	case TypeFloat8:
		f, err := v.Float64()
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), err
	case TypeTimestamptz:
		t, err := time.Parse(timestampFormat, v.Text)
		return binary.BigEndian.AppendUint64(nil, uint64(t.Sub(epoch).Microseconds())), err
	default:
		return []byte(v.Text), nil
	}
}
