package view

import (
	"encoding/json"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Change is one step of the view from Version-1 to Version.
type Change struct {
	Version model.Version
	// ID identifies the commit. If its answer is lost, the committer reads the change back and compares the ID.
	ID      string
	Author  string
	Summary string
	At      time.Time
	Puts    map[string]json.RawMessage
	Deletes []string
}

// Put adds a row to the change; value must marshal to JSON.
func (c *Change) Put(key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if c.Puts == nil {
		c.Puts = map[string]json.RawMessage{}
	}
	c.Puts[key] = body
	return nil
}

// Delete removes a row with the change.
func (c *Change) Delete(key string) {
	c.Deletes = append(c.Deletes, key)
}

// Touches reports whether the change writes or deletes a row whose key starts with prefix.
func (c *Change) Touches(prefix string) bool {
	for key := range c.Puts {
		if hasPrefix(key, prefix) {
			return true
		}
	}
	for _, key := range c.Deletes {
		if hasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// Encode returns the change as JSON.
func (c *Change) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// DecodeChange reads a change from JSON.
func DecodeChange(body []byte) (Change, error) {
	var change Change
	err := json.Unmarshal(body, &change)
	return change, err
}

func hasPrefix(key, prefix string) bool {
	return len(key) >= len(prefix) && key[:len(prefix)] == prefix
}
