package jsonc

import (
	"fmt"
	"sort"
	"strings"
)

// Location is where a finding is in a document; lines and columns count from 1, and Path names the JSON value.
type Location struct {
	File   string
	Line   int
	Column int
	Path   string
}

// Finding is one mistake in a document and what to do about it.
type Finding struct {
	Location Location
	Message  string
	Advice   string
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s; %s", f.Location.File, f.Location.Line, f.Location.Column, f.Location.Path, f.Message, f.Advice)
}

// Findings collects the mistakes of a document; as an error it reports all of them.
type Findings struct {
	list []Finding
}

// Add appends a finding.
func (f *Findings) Add(finding Finding) {
	f.list = append(f.list, finding)
}

// List returns the findings, sorted by line and column.
func (f *Findings) List() []Finding {
	sorted := append([]Finding(nil), f.list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i].Location, sorted[j].Location
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// Err returns the findings as an error, or nil if there are none.
func (f *Findings) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// Error returns one line per finding.
func (f *Findings) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, finding := range f.List() {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}
