package jsonc

import (
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Object gives access to the members of a JSON object and records which names were requested.
type Object struct {
	doc       *Document
	path      string
	offset    int
	members   map[string]*Value
	names     []string
	requested map[string]bool
}

func newObject(doc *Document, path string, offset int, raw *hujson.Object) *Object {
	o := &Object{doc: doc, path: path, offset: offset, members: map[string]*Value{}, requested: map[string]bool{}}
	for i := range raw.Members {
		o.addMember(&raw.Members[i])
	}
	return o
}

func (o *Object) addMember(member *hujson.ObjectMember) {
	name := member.Name.Value.(hujson.Literal).String()
	value := &Value{doc: o.doc, path: join(o.path, name), offset: member.Name.StartOffset, raw: member.Value}
	if _, duplicate := o.members[name]; duplicate {
		value.Report("the name stands twice", "remove one of the two")
		return
	}
	o.members[name] = value
	o.names = append(o.names, name)
}

// Names returns the names of all members in the order of the document.
func (o *Object) Names() []string { return o.names }

// Get returns a member, or nil if it is missing.
func (o *Object) Get(name string) *Value {
	o.requested[name] = true
	return o.members[name]
}

// Require returns a member; if it is missing, Require adds a finding and returns nil.
func (o *Object) Require(name, advice string) *Value {
	value := o.Get(name)
	if value == nil {
		o.Report(name+" is missing", advice)
	}
	return value
}

// Object returns a member that is an object. It returns nil if the member is missing, and nil with a finding if it is
// not an object.
func (o *Object) Object(name string) *Object {
	value := o.Get(name)
	if value == nil {
		return nil
	}
	return value.Object()
}

// Location returns where the object is.
func (o *Object) Location() Location { return o.doc.location(o.offset, o.path) }

// Report adds a finding at the object.
func (o *Object) Report(message, advice string) {
	o.doc.addFinding(o.offset, o.path, message, advice)
}

// ReportUnknown adds a finding for each member that was never requested.
func (o *Object) ReportUnknown() {
	for _, name := range o.names {
		if o.requested[name] {
			continue
		}
		o.members[name].Report("the name "+name+" is not known", "remove it or use one of: "+o.knownNames())
	}
}

func (o *Object) knownNames() string {
	names := make([]string, 0, len(o.requested))
	for name := range o.requested {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func join(path, name string) string {
	if path == "/" {
		return "/" + name
	}
	return path + "/" + name
}
