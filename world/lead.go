package world

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// Table is the table of the platform's store that belongs to this program.
const Table model.TableName = "crocusshore"

const (
	// KeyCoordinator is the row of the duty.
	KeyCoordinator = "duty"

	prefixPrimary = "lead/"
	prefixVM      = "vm/"
)

type (
	// PrimaryRecord names the primary of a group in a term.
	PrimaryRecord struct {
		Group   model.GroupName
		Term    model.Term
		Primary model.InstanceName
		// Next is set from the decision to replace the primary until the next one leads.
		Next *Intent `json:",omitempty"`
		// Version is the version of the row.
		Version int64 `json:"-"`
	}

	// Intent announces that the primary of a group is about to be replaced.
	Intent struct {
		Term   model.Term
		Holder model.VMID
		Fence  int64
	}

	// CoordinatorLease is who may order new primaries, under a fencing token that only grows.
	CoordinatorLease struct {
		Holder model.VMID
		Boot   model.BootID
		Fence  int64
		// Renewals tells how many renewals the holder made; each changes the row.
		Renewals int64
		// Released tells that the holder gave the duty back and orders nothing under this token any more.
		Released bool
		Version  int64 `json:"-"`
	}
)

// Row returns the lead as a row of the store.
func (l PrimaryRecord) Row() (model.StoredRow, error) {
	return row(prefixPrimary+string(l.Group), l.Version, l)
}

// Row returns the duty as a row of the store.
func (d CoordinatorLease) Row() (model.StoredRow, error) { return row(KeyCoordinator, d.Version, d) }

// Row returns the VM as a row of the store.
func (v VM) Row() (model.StoredRow, error) { return row(prefixVM+string(v.Name), v.Version, v) }

func row(key string, version int64, value any) (model.StoredRow, error) {
	body, err := json.Marshal(value)
	return model.StoredRow{Table: Table, Key: key, Version: version, Value: body}, err
}

// apply puts a row of the own table into the state.
func (s *Snapshot) apply(r model.StoredRow) error {
	switch {
	case r.Key == KeyCoordinator:
		return s.applyCoordinator(r)
	case strings.HasPrefix(r.Key, prefixPrimary):
		return s.applyPrimary(model.GroupName(strings.TrimPrefix(r.Key, prefixPrimary)), r)
	case strings.HasPrefix(r.Key, prefixVM):
		return s.applyVM(model.VMID(strings.TrimPrefix(r.Key, prefixVM)), r)
	default:
		return errors.Newf("row %q is unknown", r.Key)
	}
}

func (s *Snapshot) applyCoordinator(r model.StoredRow) error {
	if r.Removed {
		s.Coordinator = CoordinatorLease{}
		return nil
	}
	var d CoordinatorLease
	if err := json.Unmarshal(r.Value, &d); err != nil {
		return errors.Wrapf(err, "row %q", r.Key)
	}
	d.Version = r.Version
	s.Coordinator = d
	return nil
}

func (s *Snapshot) applyPrimary(group model.GroupName, r model.StoredRow) error {
	if r.Removed {
		delete(s.Primaries, group)
		return nil
	}
	var l PrimaryRecord
	if err := json.Unmarshal(r.Value, &l); err != nil {
		return errors.Wrapf(err, "row %q", r.Key)
	}
	l.Group, l.Version = group, r.Version
	s.Primaries[group] = l
	return nil
}

func (s *Snapshot) applyVM(name model.VMID, r model.StoredRow) error {
	if r.Removed {
		delete(s.VMs, name)
		return nil
	}
	var v VM
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return errors.Wrapf(err, "row %q", r.Key)
	}
	v.Name, v.Version = name, r.Version
	s.VMs[name] = v
	return nil
}

// FindCoordinatorLease returns the duty among the rows of the own table; it is zero where there is none.
func FindCoordinatorLease(rows []model.StoredRow) (CoordinatorLease, error) {
	s := newState()
	for _, r := range rows {
		if r.Key != KeyCoordinator {
			continue
		}
		if err := s.applyCoordinator(r); err != nil {
			return CoordinatorLease{}, err
		}
	}
	return s.Coordinator, nil
}

// FindPrimary returns the lead of a group among the rows of the own table, and whether there is one.
func FindPrimary(group model.GroupName, rows []model.StoredRow) (PrimaryRecord, bool, error) {
	s := newState()
	for _, r := range rows {
		if r.Key != prefixPrimary+string(group) {
			continue
		}
		if err := s.applyPrimary(group, r); err != nil {
			return PrimaryRecord{}, false, err
		}
	}
	lead, found := s.Primaries[group]
	return lead, found, nil
}
