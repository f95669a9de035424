package jsonc

import (
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is the text being parsed; it converts offsets in the text to lines and columns.
type Document struct {
	file     string
	findings *Findings
	// lineStarts holds the offset of the first byte of each line.
	lineStarts []int
}

// Parse parses a text and returns its root object. If the syntax is wrong or the root is not an object, it adds a finding
// and returns nil.
func Parse(file string, text []byte, findings *Findings) *Object {
	doc := newDocument(file, text, findings)
	value, err := hujson.Parse(text)
	if err != nil {
		doc.reportSyntax(err)
		return nil
	}
	root, ok := value.Value.(*hujson.Object)
	if !ok {
		doc.addFinding(value.StartOffset, "/", "the document is not an object", "write it as { … }")
		return nil
	}
	return newObject(doc, "/", value.StartOffset, root)
}

// Locate returns the location of an offset in a text, which may be invalid JSON.
func Locate(file string, text []byte, offset int) Location {
	return newDocument(file, text, nil).location(max(0, min(offset, len(text))), "/")
}

func newDocument(file string, text []byte, findings *Findings) *Document {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return &Document{file: file, findings: findings, lineStarts: starts}
}

func (d *Document) reportSyntax(err error) {
	line, column := 1, 1
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if rest, ok := strings.CutPrefix(message, "line "); ok {
		line, column, message = splitPosition(rest, message)
	}
	d.findings.Add(Finding{
		Location: Location{File: d.file, Line: line, Column: column, Path: "/"},
		Message:  message,
		Advice:   "correct the syntax; comments and trailing commas are allowed",
	})
}

func (d *Document) addFinding(offset int, path, message, advice string) {
	d.findings.Add(Finding{Location: d.location(offset, path), Message: message, Advice: advice})
}

func (d *Document) location(offset int, path string) Location {
	line, column := d.position(offset)
	return Location{File: d.file, Line: line, Column: column, Path: path}
}

func (d *Document) position(offset int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, offset+1)
	return line, offset - d.lineStarts[line-1] + 1
}
