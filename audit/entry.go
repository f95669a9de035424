package audit

import (
	"slices"

	"github.com/crocusshore/crocusshore/jsonc"
)

// Entry is the location of an entry of the settings and of its fields.
type Entry struct {
	Place  jsonc.Location
	Fields map[Term]jsonc.Location
	// Mistaken are the fields whose values have the wrong type, which is reported already.
	Mistaken []Term
	// Unsendable are the fields whose values no message can hold.
	Unsendable []Term
}

// At returns the location of a field, or that of the entry if it does not have the field.
func (e Entry) At(field Term) jsonc.Location {
	if place, known := e.Fields[field]; known {
		return place
	}
	return e.Place
}

// Has reports whether the entry has a field.
func (e Entry) Has(field Term) bool {
	_, known := e.Fields[field]
	return known
}

func (e Entry) isUnsendable(field Term) bool { return slices.Contains(e.Unsendable, field) }
