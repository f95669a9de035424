package jsonc

import (
	"bytes"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is the text being parsed; it converts offsets in the text to lines and columns.
type Document struct {
	file     string
	text     []byte
	findings *Findings
}

// Parse parses a text and returns its root object. If the syntax is wrong or the root is not an object, it adds a finding
// and returns nil.
func Parse(file string, text []byte, findings *Findings) *Object {
	doc := &Document{file: file, text: text, findings: findings}
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
	line, column := d.position(offset)
	d.findings.Add(Finding{
		Location: Location{File: d.file, Line: line, Column: column, Path: path},
		Message:  message,
		Advice:   advice,
	})
}

func (d *Document) position(offset int) (line, column int) {
	before := d.text[:min(offset, len(d.text))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}
