package main

import (
	"fmt"
	"strings"
	"time"
)

// lineFeed: a requester writes data with a line feed in it. A line feed alone does not end a message, so this is one request. The rule
// UNASKED is broken if an instance runs a request whose id no requester sent, or with a changed text.
func lineFeed(w *world) (bool, error) {
	c, err := open(w.record, "estimator", w.fleet.vms[0], primaryDB, key)
	if err != nil {
		return false, err
	}
	defer c.close()
	id, inner := newID(), newID()
	separator := " "
	if w.trouble {
		separator = "\n"
	}
	text := "WRITE order17 ten trusses" + separator + "QUERY " + inner + " WRITE order18 none"
	a, err := c.query(id, text)
	w.record.add("case", "answer to the one request: %+v error=%v", a, err)
	time.Sleep(500 * time.Millisecond)
	broken := false
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	for _, e := range w.cluster.leader().log {
		for _, run := range e.writes {
			if run.id == inner {
				w.record.add("case", "an instance ran the request %s, which no requester sent: it wrote %s", inner, run.item)
				broken = true
			}
			if run.id == id && fmt.Sprintf("WRITE %s %s", run.item, run.data) != text {
				w.record.add("case", "an instance ran %s with a changed text: it wrote %q to %s, the requester sent %q", id, run.data, run.item,
					strings.TrimPrefix(text, "WRITE order17 "))
				broken = true
			}
		}
	}
	return broken, nil
}
