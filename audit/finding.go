package audit

import (
	"fmt"

	"github.com/crocusshore/crocusshore/jsonc"
)

// Severity tells what a finding means for the settings.
type Severity string

const (
	// SeverityError means that VMs refuse the settings, skip the entry, or cannot serve what it asks for.
	SeverityError Severity = "Error"
	// SeverityWarning means that VMs use the entry, but probably not as intended.
	SeverityWarning Severity = "Warning"
)

// Finding is one mistake in the settings and what to do about it.
type Finding struct {
	jsonc.Finding
	Severity Severity
}

// String returns the finding on one line.
func (f Finding) String() string {
	at := f.Location
	severity := "error"
	if f.Severity == SeverityWarning {
		severity = "warning"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s: %s; %s", at.File, at.Line, at.Column, severity, at.Path, f.Message, f.Advice)
}
