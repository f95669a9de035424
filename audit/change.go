package audit

import (
	"fmt"
	"strings"
)

// ChangeKind is what happened to an entry.
type ChangeKind string

const (
	// ChangeAdded means that only the new version has the entry.
	ChangeAdded ChangeKind = "Added"
	// ChangeRemoved means that only the version in effect has the entry.
	ChangeRemoved ChangeKind = "Removed"
	// ChangeChanged means that both versions have the entry, with other values.
	ChangeChanged ChangeKind = "Changed"
)

type (
	// Change is a difference between the version in effect and a new one.
	Change struct {
		Kind ChangeKind
		// Entry is the operators' word for the kind of the entry.
		Entry string
		// Name is the name of the entry, for a route that of its database, and for keys that of their team.
		Name string
		// Count is the number of keys, which are not shown. It is 0 for other entries.
		Count  int           `json:",omitempty"`
		Fields []FieldChange `json:",omitempty"`
	}

	// FieldChange is a field with other values, as the settings have them.
	FieldChange struct {
		Name, From, To string
	}
)

// String returns the change on one line.
func (c Change) String() string {
	kind := strings.ToLower(string(c.Kind))
	switch c.Count {
	case 0:
	case 1:
		return fmt.Sprintf("%s 1 %s of %q", kind, c.Entry, c.Name)
	default:
		return fmt.Sprintf("%s %d %ss of %q", kind, c.Count, c.Entry, c.Name)
	}
	fields := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Name, orNone(f.From), orNone(f.To)))
	}
	if len(fields) == 0 {
		return kind + " " + c.describe()
	}
	return fmt.Sprintf("%s %s: %s", kind, c.describe(), strings.Join(fields, ", "))
}

func (c Change) describe() string {
	if c.Name == "" {
		return c.Entry
	}
	return fmt.Sprintf("%s %q", c.Entry, c.Name)
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
