package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/crocusshore/crocusshore/jsonc"
)

// checker collects the findings of a draft.
type checker struct {
	draft    Draft
	findings []Finding
}

// Check returns what is wrong with a draft, in the order of its text.
func Check(d Draft) []Finding {
	c := &checker{draft: d}
	for _, finding := range d.Findings {
		c.findings = append(c.findings, Finding{Finding: finding, Severity: SeverityError})
	}
	c.checkWhole()
	c.checkGroups()
	c.checkTeams()
	c.checkKeys()
	c.checkRoutes()
	c.checkHomes()
	sortFindings(c.findings)
	return c.findings
}

// checkWhole checks the fields that belong to no route, group or team.
func (c *checker) checkWhole() {
	d := c.draft
	if d.Version <= 0 {
		c.addError(d.Entry, TermVersion, fmt.Sprintf("%s is missing or not above 0, and VMs ignore settings older than those in effect", c.word(TermVersion)),
			"use a number above that of the version in effect")
	}
	idle := c.word(TermTxIdle)
	switch {
	case d.TxIdleTimeout < 0:
		c.addError(d.Entry, TermTxIdle, idle+" is below 0, and every transaction ends at once", "use the longest time for which a transaction may be idle")
	case d.TxIdleTimeout == 0:
		c.addWarning(d.Entry, TermTxIdle, idle+" is 0, and a transaction may be idle without limit and keep its connection",
			"use the longest time for which a transaction may be idle")
	}
}

func (c *checker) addError(e Entry, field Term, message, advice string) {
	c.report(SeverityError, e, field, message, advice)
}

func (c *checker) addWarning(e Entry, field Term, message, advice string) {
	c.report(SeverityWarning, e, field, message, advice)
}

// report adds a finding at a field, unless its value could not be read.
func (c *checker) report(severity Severity, e Entry, field Term, message, advice string) {
	if !slices.Contains(e.Mistaken, field) {
		c.reportAt(severity, e.At(field), message, advice)
	}
}

func (c *checker) reportAt(severity Severity, place jsonc.Location, message, advice string) {
	c.findings = append(c.findings, Finding{Severity: severity, Finding: jsonc.Finding{Location: place, Message: message, Advice: advice}})
}

// reportUnsendable reports that VMs skip an entry because no message can hold the value of a field.
func (c *checker) reportUnsendable(e Entry, kind, field Term, value string) {
	c.addError(e, field, fmt.Sprintf("no message can hold the %s %q, and VMs skip the %s", c.word(field), value, c.word(kind)),
		"use a text that is not empty, in UTF-8, without spaces and line ends")
}

func (c *checker) word(t Term) string { return c.draft.Words.Word(t) }

// named returns the kind and the name of an entry.
func (c *checker) named(kind Term, name string) string {
	return c.word(kind) + " " + strconv.Quote(name)
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Location.Line, b.Location.Line), cmp.Compare(a.Location.Column, b.Location.Column))
	})
}

// millis returns a duration as a number of milliseconds, as the settings have it.
func millis(d time.Duration) string {
	return number(float64(d) / float64(time.Millisecond))
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
