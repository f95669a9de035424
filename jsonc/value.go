package jsonc

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Value is one JSON value. Its getters add a finding and return the zero value if the value has the wrong type or is out
// of range.
type Value struct {
	doc    *Document
	path   string
	offset int
	raw    hujson.Value
}

// Report adds a finding at the value.
func (v *Value) Report(message, advice string) {
	v.doc.addFinding(v.offset, v.path, message, advice)
}

// Location returns where the value is.
func (v *Value) Location() Location { return v.doc.location(v.offset, v.path) }

// Elements returns the elements of an array.
func (v *Value) Elements() []*Value {
	raw, ok := v.raw.Value.(*hujson.Array)
	if !ok {
		v.Report("the value is not an array", "write it as [ … ]")
		return nil
	}
	elements := make([]*Value, 0, len(raw.Elements))
	for i, element := range raw.Elements {
		path := join(v.path, strconv.Itoa(i))
		elements = append(elements, &Value{doc: v.doc, path: path, offset: element.StartOffset, raw: element})
	}
	return elements
}

// IsNull reports whether the value is null.
func (v *Value) IsNull() bool {
	literal, ok := v.raw.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
}

// IsArray reports whether the value is an array.
func (v *Value) IsArray() bool {
	_, ok := v.raw.Value.(*hujson.Array)
	return ok
}

// JSON returns the value as standard JSON, without comments.
func (v *Value) JSON() json.RawMessage {
	copied := v.raw.Clone()
	copied.Standardize()
	copied.Minimize()
	return json.RawMessage(copied.Pack())
}

// Object returns the value as an object.
func (v *Value) Object() *Object {
	raw, ok := v.raw.Value.(*hujson.Object)
	if !ok {
		v.Report("the value is not an object", "write it as { … }")
		return nil
	}
	return newObject(v.doc, v.path, v.offset, raw)
}

// Text returns the value as a string.
func (v *Value) Text() string {
	literal, ok := v.raw.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		v.Report("the value is not a string", `write it in quotes, such as "East"`)
		return ""
	}
	return literal.String()
}

// Choice returns the value, which must be one of the given strings.
func (v *Value) Choice(names ...string) string {
	text := v.Text()
	for _, name := range names {
		if text == name {
			return text
		}
	}
	if text != "" {
		v.Report(strconv.Quote(text)+" is not a choice", "use one of: "+strings.Join(names, ", "))
	}
	return ""
}

// Bool returns the value as a boolean.
func (v *Value) Bool() bool {
	literal, ok := v.raw.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		v.Report("the value is neither true nor false", "write true or false without quotes")
		return false
	}
	return literal.Bool()
}

// Number returns the value as a number between least and most.
func (v *Value) Number(least, most float64) float64 {
	literal, ok := v.raw.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		v.Report("the value is not a number", "write a number without quotes or a unit")
		return 0
	}
	number := literal.Float()
	if number < least || number > most {
		v.Report("the number is out of range", "use a number from "+format(least)+" to "+format(most))
		return 0
	}
	return number
}

// Duration returns the value as a duration between least and most.
func (v *Value) Duration(least, most time.Duration) time.Duration {
	literal, ok := v.raw.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		v.Report("the time has no unit", `write a string with a unit, such as "250ms" or "2s"`)
		return 0
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		v.Report(strconv.Quote(literal.String())+" is not a time", `use the units ms, s, m or h, such as "250ms"`)
		return 0
	}
	if parsed < least || parsed > most {
		v.Report("the time is out of range", "use a time from "+least.String()+" to "+most.String())
		return 0
	}
	return parsed
}

// AddrPort returns the value as an IP address with a port.
func (v *Value) AddrPort() netip.AddrPort {
	text := v.Text()
	if text == "" {
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		v.Report(strconv.Quote(text)+" is not an address", `write an IP number and a port, such as "10.0.0.7:5400"; names are not looked up`)
	}
	return parsed
}

func format(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}
