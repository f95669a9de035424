package audit

import (
	"encoding/json"
	"fmt"
	"io"
)

type (
	// Report holds the findings in a draft and, if it was compared with the version in effect, its changes.
	Report struct {
		File     string
		Version  int64
		Findings []Finding
		// Against is the file of the version in effect, or empty.
		Against        string
		AgainstVersion int64
		Changes        []Change
	}

	// reportJSON and findingJSON are the JSON format of a report.
	reportJSON struct {
		File           string
		Version        int64
		Errors         int
		Warnings       int
		Findings       []findingJSON
		Against        string `json:",omitempty"`
		AgainstVersion int64  `json:",omitempty"`
		Changes        []Change
	}

	findingJSON struct {
		Severity Severity
		Line     int
		Column   int
		Path     string
		Message  string
		Advice   string
	}
)

// NewReport returns the report on a draft.
func NewReport(file string, draft Draft) Report {
	return Report{File: file, Version: draft.Version, Findings: Check(draft)}
}

// NewComparison returns the report on a draft with its differences from the version in effect.
func NewComparison(file string, draft Draft, against string, inEffect Draft) Report {
	r := NewReport(file, draft)
	r.Against, r.AgainstVersion = against, inEffect.Version
	r.Changes = Compare(inEffect, draft)
	r.Findings = append(r.Findings, CheckVersion(inEffect, draft, r.Changes)...)
	sortFindings(r.Findings)
	return r
}

// Count returns the number of findings of a severity.
func (r Report) Count(severity Severity) int {
	count := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			count++
		}
	}
	return count
}

// Err returns the failure of the program that wrote the report, or nil if there are no errors in the settings.
func (r Report) Err() error {
	if r.Count(SeverityError) > 0 {
		return &Failure{Status: StatusErrors}
	}
	return nil
}

// WriteText writes the report with one line for each finding and each change.
func (r Report) WriteText(w io.Writer) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "%s: version %d, errors: %d, warnings: %d\n", r.File, r.Version, r.Count(SeverityError), r.Count(SeverityWarning)); err != nil {
		return err
	}
	return r.writeChanges(w)
}

func (r Report) writeChanges(w io.Writer) error {
	if r.Against == "" {
		return nil
	}
	if _, err := fmt.Fprintf(w, "changes from version %d in %s: %d\n", r.AgainstVersion, r.Against, len(r.Changes)); err != nil {
		return err
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(w, "  "+change.String()); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the report as a JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	document := reportJSON{
		File: r.File, Version: r.Version, Errors: r.Count(SeverityError), Warnings: r.Count(SeverityWarning), Findings: []findingJSON{},
		Against: r.Against, AgainstVersion: r.AgainstVersion, Changes: r.Changes,
	}
	for _, f := range r.Findings {
		document.Findings = append(document.Findings, findingJSON{
			Severity: f.Severity, Line: f.Location.Line, Column: f.Location.Column, Path: f.Location.Path, Message: f.Message, Advice: f.Advice,
		})
	}
	if document.Changes == nil {
		document.Changes = []Change{}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(document)
}
