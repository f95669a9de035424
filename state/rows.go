package state

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/crocusshore/crocusshore/model"
)

// Table is the table of the platform's store that this program owns.
const Table model.TableName = "crocusshore"

const (
	// KeyCoordinator is the key of the coordinator lease.
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
		// Replicas are the replicas that an acknowledged commit may rest on: those that were registered in the term, until they have left and
		// another one has been found to hold all that they confirmed. They are nil if unknown.
		Replicas []model.Incarnation
		// Next is set from the announcement of a replacement until the next primary is recorded or the old one is kept.
		Next *Intent `json:",omitempty"`
		// Era is the era of the store in which the record was written. In a later one it is not confirmed: the store may have forgotten newer ones.
		Era int64 `json:",omitempty"`
		// Write names the write of the row; see NewWriteID.
		Write WriteID `json:",omitempty"`
		// Version is the version of the row.
		Version int64 `json:"-"`
	}

	// Intent announces that the primary of a group is about to be replaced. The term of the next primary is Term or a later one; Holder and
	// Fence are those of the coordinator lease at the announcement.
	Intent struct {
		Term   model.Term
		Holder model.VMID
		Fence  int64
		// Final is the end of the old primary's log if it was demoted while leases on it had not ended; nil if that is not known.
		Final *model.Mark `json:",omitempty"`
	}

	// CoordinatorLease names the VM that may order new primaries, under a fencing token that only grows.
	CoordinatorLease struct {
		Holder model.VMID
		Boot   model.BootID
		Fence  int64
		// Renewals counts the renewals by the holder; each of them changes the row.
		Renewals int64
		// Released reports that the holder gave the lease up and sends no more orders under this token.
		Released bool
		// Orders are the holder's orders that may still be under way. Each is recorded before it is sent, since no VM can take it back.
		Orders []SentOrder `json:",omitempty"`
		// Write names the write of the row; see NewWriteID.
		Write   WriteID `json:",omitempty"`
		Version int64   `json:"-"`
	}

	// SentOrder is an order that takes effect whenever it arrives, whatever has happened since it was sent.
	SentOrder struct {
		// ID tells the order from all others; orders of older programs have none.
		ID    OrderID `json:",omitempty"`
		Group model.GroupName
		Kind  OrderKind
		// Target is the instance to promote, and Term the least term of its promotion; both are zero for other kinds.
		Target model.InstanceName `json:",omitempty"`
		Term   model.Term         `json:",omitempty"`
		// Repeated reports that several orders for this promotion were recorded, so that the promotion does not show which of them were carried out.
		Repeated bool `json:",omitempty"`
		// Age is how long ago it was recorded at least, as of the writing of the row.
		Age time.Duration `json:",omitempty"`
	}

	// OrderID names one SentOrder.
	OrderID string

	// OrderKind is the kind of a SentOrder.
	OrderKind string

	// WriteID names one write of a row. Another write may have the same effect: an earlier one of the same process whose answer was lost.
	WriteID string
)

const (
	// OrderPromote promotes an instance.
	OrderPromote OrderKind = "Promote"
	// OrderResume ends the pauses of the replicas of a group.
	OrderResume OrderKind = "Resume"
)

// IsConfirmed reports whether the record was written in the era of the store in which it was read.
func (r PrimaryRecord) IsConfirmed() bool { return r.Era == model.EraOf(r.Version) }

// fenceEraShift is the number of bits of a fencing token that count the holders in an era of the store; the bits above hold the era.
const fenceEraShift = 32

// LeastFence returns the lowest fencing token of an era of the store. It is higher than all tokens of earlier eras, whether or not the store remembers them.
func LeastFence(era int64) int64 { return era<<fenceEraShift + 1 }

// EraOfFence returns the era of the store in which a fencing token was given out.
func EraOfFence(fence int64) int64 { return fence >> fenceEraShift }

// NewWriteID returns the name of a new write.
func NewWriteID() WriteID { return WriteID(uuid.NewString()) }

// NewOrderID returns the name of a new order.
func NewOrderID() OrderID { return OrderID(uuid.NewString()) }

// Row returns the record as a row of the store.
func (r PrimaryRecord) Row() (model.StoredRow, error) {
	return row(prefixPrimary+string(r.Group), r.Version, r)
}

// Row returns the coordinator lease as a row of the store.
func (l CoordinatorLease) Row() (model.StoredRow, error) { return row(KeyCoordinator, l.Version, l) }

// Row returns the VM as a row of the store.
func (v VM) Row() (model.StoredRow, error) { return row(prefixVM+string(v.Name), v.Version, v) }

func row(key string, version int64, value any) (model.StoredRow, error) {
	body, err := json.Marshal(value)
	return model.StoredRow{Table: Table, Key: key, Version: version, Value: body}, err
}

// apply applies a row of Table to a snapshot that is not published yet.
func (s *Snapshot) apply(r model.StoredRow) error {
	switch {
	case r.Key == KeyCoordinator:
		return s.applyCoordinator(r)
	case strings.HasPrefix(r.Key, prefixPrimary):
		return s.applyPrimary(model.GroupName(strings.TrimPrefix(r.Key, prefixPrimary)), r)
	case strings.HasPrefix(r.Key, prefixVM):
		return s.applyVM(model.VMID(strings.TrimPrefix(r.Key, prefixVM)), r)
	default:
		return errors.Newf("row %q has an unknown key", r.Key)
	}
}

func (s *Snapshot) applyCoordinator(r model.StoredRow) error {
	if r.Removed {
		s.Coordinator = CoordinatorLease{}
		return nil
	}
	var lease CoordinatorLease
	if err := json.Unmarshal(r.Value, &lease); err != nil {
		return errors.Wrapf(err, "row %q", r.Key)
	}
	lease.Version = r.Version
	s.Coordinator = lease
	return nil
}

func (s *Snapshot) applyPrimary(group model.GroupName, r model.StoredRow) error {
	if r.Removed {
		delete(s.Primaries, group)
		return nil
	}
	var record PrimaryRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return errors.Wrapf(err, "row %q", r.Key)
	}
	record.Group, record.Version = group, r.Version
	s.Primaries[group] = record
	return nil
}

// restoreUnconfirmed undoes keepConfirmed before rows are applied.
func (s *Snapshot) restoreUnconfirmed() {
	for group, stored := range s.Unconfirmed {
		if stored.Version > 0 {
			s.Primaries[group] = stored
		} else {
			delete(s.Primaries, group)
		}
	}
}

// keepConfirmed moves the records that are not confirmed to Unconfirmed. Until they are, the records of an earlier era stay, also those that the store has
// forgotten, unless the store has a later term.
func (s *Snapshot) keepConfirmed(before map[model.GroupName]PrimaryRecord, era int64) {
	unconfirmed := map[model.GroupName]PrimaryRecord{}
	for group, record := range s.Primaries {
		if !record.IsConfirmed() {
			unconfirmed[group] = record
			delete(s.Primaries, group)
		}
	}
	for group, known := range before {
		stored, exists := s.Primaries[group]
		if exists || model.EraOf(known.Version) == era {
			continue
		}
		if stored = unconfirmed[group]; stored.Version == 0 {
			stored.Group = group
			unconfirmed[group] = stored
		}
		if known.Term >= stored.Term {
			s.Primaries[group] = known
		}
	}
	s.Unconfirmed = unconfirmed
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

// VersionWritten returns the version of the row among rows of Table that has the key and value of a written one, and whether there is one.
func VersionWritten(written model.StoredRow, rows []model.StoredRow) (int64, bool) {
	for _, r := range rows {
		if r.Key == written.Key {
			return r.Version, bytes.Equal(r.Value, written.Value)
		}
	}
	return 0, false
}
