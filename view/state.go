package view

import (
	"encoding/json"
	"maps"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// State is the view at one version. It is immutable.
type State struct {
	Version     model.Version
	Tree        *tree.Tree
	Keys        map[model.KeyID]Key
	Placements  map[model.GroupName]Placement
	QuotaShards map[int]QuotaShard
	Stewards    Stewards

	rows          map[string]json.RawMessage
	fleetSettings tree.Settings
}

// Empty returns the view before its first change.
func Empty() *State {
	blank, _ := tree.FromRows(nil)
	return &State{
		Tree:          blank,
		Keys:          map[model.KeyID]Key{},
		Placements:    map[model.GroupName]Placement{},
		QuotaShards:   map[int]QuotaShard{},
		rows:          map[string]json.RawMessage{},
		fleetSettings: blank.Settings(tree.FleetPath),
	}
}

// Apply returns the view after a change. It fails if the version of the change is not the next one or if a row does not decode.
func (s *State) Apply(change Change) (*State, error) {
	if change.Version != s.Version+1 {
		return nil, errors.Newf("change %d does not follow version %d", change.Version, s.Version)
	}
	next := *s
	next.Version = change.Version
	next.rows = maps.Clone(s.rows)
	maps.Copy(next.rows, change.Puts)
	for _, key := range change.Deletes {
		delete(next.rows, key)
	}
	if err := next.decode(&change); err != nil {
		return nil, errors.Wrapf(err, "change %d", change.Version)
	}
	return &next, nil
}

func (s *State) decode(change *Change) error {
	if change.Touches(nodePrefix) {
		if err := s.decodeTree(); err != nil {
			return err
		}
	}
	return errors.CombineErrors(s.decodeMaps(change), s.decodeStewards(change))
}

func (s *State) decodeMaps(change *Change) error {
	var err error
	if change.Touches(keyPrefix) {
		s.Keys, err = decodeRows(s.rows, keyPrefix, func(name string) (model.KeyID, error) { return model.KeyID(name), nil }, Key{})
	}
	if err == nil && change.Touches(placementPrefix) {
		s.Placements, err = decodeRows(s.rows, placementPrefix, func(name string) (model.GroupName, error) { return model.GroupName(name), nil }, Placement{})
	}
	if err == nil && change.Touches(shardPrefix) {
		s.QuotaShards, err = decodeRows(s.rows, shardPrefix, strconv.Atoi, QuotaShard{})
	}
	return err
}

func (s *State) decodeTree() error {
	nodes := map[tree.NodePath]json.RawMessage{}
	for key, value := range s.rows {
		if path, ok := strings.CutPrefix(key, nodePrefix); ok {
			nodes[tree.NodePath(path)] = value
		}
	}
	decoded, err := tree.FromRows(nodes)
	if err != nil {
		return err
	}
	s.Tree = decoded
	s.fleetSettings = decoded.Settings(tree.FleetPath)
	return nil
}

func (s *State) decodeStewards(change *Change) error {
	if !change.Touches(stewardsKey) {
		return nil
	}
	s.Stewards = Stewards{}
	body, ok := s.rows[stewardsKey]
	if !ok {
		return nil
	}
	return json.Unmarshal(body, &s.Stewards)
}

func decodeRows[K comparable, V any](rows map[string]json.RawMessage, prefix string, name func(string) (K, error), zero V) (map[K]V, error) {
	decoded := map[K]V{}
	for key, body := range rows {
		rest, ok := strings.CutPrefix(key, prefix)
		if !ok {
			continue
		}
		id, err := name(rest)
		if err != nil {
			return nil, errors.Wrapf(err, "row %s", key)
		}
		value := zero
		if err := json.Unmarshal(body, &value); err != nil {
			return nil, errors.Wrapf(err, "row %s", key)
		}
		decoded[id] = value
	}
	return decoded, nil
}

// FleetSettings returns the settings that apply to all VMs.
func (s *State) FleetSettings() tree.Settings { return s.fleetSettings }
