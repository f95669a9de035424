package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// comparison collects the differences between two versions.
	comparison struct {
		words   Words
		changes []Change
	}

	// value is a field with its value, as the settings have it.
	value struct {
		field Term
		text  string
	}
)

// Compare returns the differences between the version in effect and a draft. Of entries with the same name, the last one that VMs use counts.
func Compare(inEffect, draft Draft) []Change {
	c := &comparison{words: draft.Words}
	c.compareWhole(inEffect, draft)
	compareEntries(c, TermRoute, routesByDatabase(inEffect), routesByDatabase(draft), routeValues)
	compareEntries(c, TermGroup, groupsByName(inEffect), groupsByName(draft), groupValues)
	compareEntries(c, TermTeam, teamsByName(inEffect), teamsByName(draft), teamValues)
	c.compareKeys(keysByTeam(inEffect), keysByTeam(draft))
	return c.changes
}

// CheckVersion returns a finding if VMs may ignore a draft because its version is not above that in effect.
func CheckVersion(inEffect, draft Draft, changes []Change) []Finding {
	c := &checker{draft: draft}
	word := c.word(TermVersion)
	message := ""
	switch {
	case draft.Version <= 0: // Check reports it.
	case draft.Version < inEffect.Version:
		message = fmt.Sprintf("%s %d is below %d, which is in effect, and VMs ignore the settings", word, draft.Version, inEffect.Version)
	case draft.Version == inEffect.Version && len(changes) > 0:
		message = fmt.Sprintf("%s %d is in effect already, with other settings", word, draft.Version)
	}
	if message != "" {
		c.addError(draft.Entry, TermVersion, message, fmt.Sprintf("use a number above %d", inEffect.Version))
	}
	return c.findings
}

func (c *comparison) compareWhole(inEffect, draft Draft) {
	fields := c.changedFields(wholeValues(inEffect), wholeValues(draft))
	if len(fields) > 0 {
		c.add(ChangeChanged, TermSettings, "", 0, fields)
	}
}

func (c *comparison) add(kind ChangeKind, entry Term, name string, count int, fields []FieldChange) {
	c.changes = append(c.changes, Change{Kind: kind, Entry: c.words.Word(entry), Name: name, Count: count, Fields: fields})
}

// compareEntries adds the differences between the entries of a kind, in the order of their names.
func compareEntries[K cmp.Ordered, E any](c *comparison, kind Term, from, to map[K]E, values func(E) []value) {
	for _, name := range sortedNames(from, to) {
		before, had := from[name]
		after, has := to[name]
		switch fields := c.changedFields(values(before), values(after)); {
		case !had:
			c.add(ChangeAdded, kind, fmt.Sprint(name), 0, nil)
		case !has:
			c.add(ChangeRemoved, kind, fmt.Sprint(name), 0, nil)
		case len(fields) > 0:
			c.add(ChangeChanged, kind, fmt.Sprint(name), 0, fields)
		}
	}
}

func sortedNames[K cmp.Ordered, A, B any](from map[K]A, to map[K]B) []K {
	names := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(names)
	return slices.Compact(names)
}

// changedFields returns the fields with other values; both lists have the same fields.
func (c *comparison) changedFields(from, to []value) []FieldChange {
	var fields []FieldChange
	for i, before := range from {
		if after := to[i]; before.text != after.text {
			fields = append(fields, FieldChange{Name: c.words.Word(before.field), From: before.text, To: after.text})
		}
	}
	return fields
}

func (c *comparison) compareKeys(from, to map[model.TeamName]map[string]bool) {
	for _, team := range sortedNames(from, to) {
		if added := countMissing(to[team], from[team]); added > 0 {
			c.add(ChangeAdded, TermKey, string(team), added, nil)
		}
		if removed := countMissing(from[team], to[team]); removed > 0 {
			c.add(ChangeRemoved, TermKey, string(team), removed, nil)
		}
	}
}

// countMissing returns the number of keys that are not among the others.
func countMissing(keys, others map[string]bool) int {
	missing := 0
	for key := range keys {
		if !others[key] {
			missing++
		}
	}
	return missing
}
