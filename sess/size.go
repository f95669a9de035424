package sess

import (
	"strings"

	"github.com/crocusshore/crocusshore/model"
)

// Apply records or removes a session value or a prepared statement; each has entryBytes beyond its text.
func (s *Session) Apply(command model.Command, entryBytes int) {
	s.size = s.SizeWith(command, entryBytes)
	// The texts are cloned, since a part of a message would keep the whole message in memory.
	name := strings.Clone(command.Name)
	switch command.Kind {
	case model.CommandSet:
		s.valuesSize += s.change(command, entryBytes)
		s.Set(name, strings.Clone(command.Value))
	case model.CommandPrepare:
		s.Prepared[name] = model.Prepared{Write: command.Prepared.Write, Shape: strings.Clone(command.Prepared.Shape)}
	case model.CommandDeallocate:
		delete(s.Prepared, name)
	}
}

// SizeWith returns the size in bytes of the values and prepared statements once a command is applied.
func (s *Session) SizeWith(command model.Command, entryBytes int) int {
	return s.size + s.change(command, entryBytes)
}

// EntriesWith returns the number of values and prepared statements once a command is applied; it counts an entry that is replaced twice.
func (s *Session) EntriesWith(command model.Command) int {
	entries := len(s.Values) + len(s.Prepared)
	if command.Kind == model.CommandDeallocate {
		return entries - 1
	}
	return entries + 1
}

// ValuesSize returns the size in bytes of the values.
func (s *Session) ValuesSize() int { return s.valuesSize }

// change returns the number of bytes by which a command changes the size.
func (s *Session) change(command model.Command, entryBytes int) int {
	entry := len(command.Name) + entryBytes
	switch command.Kind {
	case model.CommandSet:
		if old, known := s.Values[command.Name]; known {
			return len(command.Value) - len(old)
		}
		return entry + len(command.Value)
	case model.CommandPrepare:
		if old, known := s.Prepared[command.Name]; known {
			return len(command.Prepared.Shape) - len(old.Shape)
		}
		return entry + len(command.Prepared.Shape)
	case model.CommandDeallocate:
		if old, known := s.Prepared[command.Name]; known {
			return -entry - len(old.Shape)
		}
	}
	return 0
}
