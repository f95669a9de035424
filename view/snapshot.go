package view

import (
	"encoding/json"

	"github.com/crocusshore/crocusshore/model"
)

// snapshot is the full view as it is stored in the object store.
type snapshot struct {
	Version model.Version
	Rows    map[string]json.RawMessage
}

// Snapshot returns the full view as JSON.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Version: s.Version, Rows: s.rows})
}

// Restore reads a full view from JSON.
func Restore(body []byte) (*State, error) {
	var stored snapshot
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, err
	}
	base := Empty()
	base.Version = stored.Version - 1
	return base.Apply(Change{Version: stored.Version, Puts: stored.Rows})
}
