package audit

import "fmt"

// checkNames reports the entries that VMs skip because of their names, and those of which only the last one with a name counts.
func checkNames[E interface{ usable() bool }](c *checker, kind Term, entries []E, identify func(E) (Entry, string)) {
	lines := map[string]int{}
	for _, e := range entries {
		entry, name := identify(e)
		if !e.usable() {
			c.reportUnsendable(entry, kind, TermName, name)
			continue
		}
		if line, known := lines[name]; known {
			c.addError(entry, TermName, fmt.Sprintf("the %s stands at line %d, too, and only the last one counts", c.named(kind, name), line), "remove one of the two")
		}
		lines[name] = entry.Place.Line
	}
}
