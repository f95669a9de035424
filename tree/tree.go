package tree

import (
	"encoding/json"
	"sort"

	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/model"
)

// Tree is a checked tree of settings; it is immutable.
type Tree struct {
	nodes  map[NodePath]*Node
	groups map[model.GroupName]*Group
}

// Parse parses a complete tree; if the text has mistakes, the error is a *jsonc.Findings.
func Parse(file string, text []byte) (*Tree, error) {
	findings := &jsonc.Findings{}
	t := newTree()
	if root := jsonc.Parse(file, text, findings); root != nil {
		t.read(root)
		t.check()
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// FromRows builds a tree from the JSON of its nodes and groups, keyed by path; if they have mistakes, the error is a
// *jsonc.Findings.
func FromRows(rows map[NodePath]json.RawMessage) (*Tree, error) {
	findings := &jsonc.Findings{}
	t := newTree()
	for path, value := range rows {
		if object := jsonc.Parse(string(path), value, findings); object != nil {
			t.add(path, object, value)
		}
	}
	t.check()
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func newTree() *Tree {
	return &Tree{nodes: map[NodePath]*Node{}, groups: map[model.GroupName]*Group{}}
}

func (t *Tree) read(root *jsonc.Object) {
	if fleet := root.Get("Fleet"); fleet != nil {
		t.readValue(FleetPath, fleet)
	}
	t.readSection(root, "Teams", teamsPrefix)
	t.readSection(root, "Routes", routesPrefix)
	t.readSection(root, "Groups", groupsPrefix)
	root.ReportUnknown()
}

func (t *Tree) readSection(root *jsonc.Object, name, prefix string) {
	section := root.Object(name)
	if section == nil {
		return
	}
	for _, member := range section.Names() {
		t.readValue(NodePath(prefix+member), section.Get(member))
	}
}

func (t *Tree) readValue(path NodePath, value *jsonc.Value) {
	if object := value.Object(); object != nil {
		t.add(path, object, value.JSON())
	}
}

func (t *Tree) add(path NodePath, object *jsonc.Object, value json.RawMessage) {
	if name, ok := groupName(path); ok {
		t.groups[name] = readGroup(name, object, value)
		return
	}
	t.nodes[path] = readNode(path, object, value)
}

// Rows returns the JSON of every node and group, keyed by path.
func (t *Tree) Rows() map[NodePath]json.RawMessage {
	rows := make(map[NodePath]json.RawMessage, len(t.nodes)+len(t.groups))
	for path, node := range t.nodes {
		rows[path] = node.JSON
	}
	for name, group := range t.groups {
		rows[GroupPath(name)] = group.JSON
	}
	return rows
}

// Node returns the node at a path, or nil.
func (t *Tree) Node(path NodePath) *Node { return t.nodes[path] }

// Group returns the group with a name, or nil.
func (t *Tree) Group(name model.GroupName) *Group { return t.groups[name] }

// Groups returns all groups, sorted by name.
func (t *Tree) Groups() []*Group {
	groups := make([]*Group, 0, len(t.groups))
	for _, group := range t.groups {
		groups = append(groups, group)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

// Paths returns the paths of all nodes, sorted.
func (t *Tree) Paths() []NodePath {
	paths := make([]NodePath, 0, len(t.nodes))
	for path := range t.nodes {
		paths = append(paths, path)
	}
	sort.Slice(paths, func(i, j int) bool { return paths[i] < paths[j] })
	return paths
}

// Text returns the tree as one JSON document.
func (t *Tree) Text() (string, error) {
	document := map[string]any{}
	for path, value := range t.Rows() {
		section, name := path.split()
		if name == "" {
			document[section] = value
			continue
		}
		members, ok := document[section].(map[string]json.RawMessage)
		if !ok {
			members = map[string]json.RawMessage{}
			document[section] = members
		}
		members[name] = value
	}
	text, err := json.MarshalIndent(document, "", "  ")
	return string(text), err
}
