package soak

import (
	"fmt"
	"time"
)

// prepare prepares a statement of a kind, READ or WRITE, and returns the beginning of the statement that runs it. Names and shapes collide with
// those of other callers and of earlier operations, but not those of a read and a write of one operation. An error ends the session.
func (c *caller) prepare(kind string) (string, error) {
	number := c.operations % 2
	if kind == "READ" {
		number = 1 - number
	}
	name, shape := c.texts.word(fmt.Sprintf("s%d", number)), c.texts.text("q2")
	if a, err := c.query("PREPARE " + name + " " + kind + " " + shape); err != nil || a.fault != "" {
		return "", errSessionEnded
	}
	c.prepared[name] = kind + " " + shape
	return "EXEC " + name + " ", nil
}

// verb returns the beginning of a statement of a kind, READ or WRITE, which it prepares in a part of the cases. An error ends the session.
func (c *caller) verb(kind string) (string, error) {
	if c.texts.prepares() {
		return c.prepare(kind)
	}
	return kind + " ", nil
}

// transaction writes one value, sometimes reads, and commits or rolls back. What it prepares it prepares before.
func (c *caller) transaction() error {
	writeVerb, err := c.verb("WRITE")
	if err != nil {
		return err
	}
	readVerb, err := c.verb("READ")
	if err != nil {
		return err
	}
	if a, err := c.query("BEGIN"); err != nil || a.fault != "" {
		return c.faultError(a, err)
	}
	value := c.nextValue()
	id := c.nextID()
	c.site.history.recordWrite(c.item, id, value)
	a, err := c.queryWithID(id, writeVerb+c.item+" "+value)
	if err == nil && a.fault == "" && c.random.IntN(2) == 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
		a, err = c.readInTransaction(readVerb)
	}
	if err != nil {
		// The commit was never sent, so nothing of the transaction may be committed.
		c.site.history.recordOutcome(c.item, id, outcomeRefused)
		return err
	}
	if a.fault != "" || c.random.IntN(4) == 0 {
		c.site.history.recordOutcome(c.item, id, outcomeRefused)
		_, err := c.query("ROLLBACK")
		return err
	}
	commit := c.nextID()
	a, err = c.queryWithID(commit, "COMMIT")
	return c.recordOutcome(commit, a, err)
}

// readInTransaction reads any item. The value must have been written, but may be of any age: the transaction's own guarantee begins with BEGIN.
func (c *caller) readInTransaction(verb string) (answer, error) {
	item := c.anyItem()
	a, err := c.query(verb + item)
	if err == nil && a.fault == "" {
		err = c.checkRead(item, 0, a)
	}
	return a, err
}
