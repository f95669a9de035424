package watch

import (
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

// Encoding is a way to send a large row to another VM.
type Encoding string

const (
	// EncodingDelta is the difference from a version of the row that the receiver holds.
	EncodingDelta Encoding = "Delta"
	// EncodingCompressed is the compressed row.
	EncodingCompressed Encoding = "Compressed"
	// EncodingDeferred leaves an encoding of more than maxInlineBytes to a request of its own; see RowReference.
	EncodingDeferred Encoding = "Deferred"
)

const (
	// LargeRowBytes is the least length of a value that is sent encoded. Shorter rows are sent as they are.
	LargeRowBytes = 4 << 10
	// maxInlineBytes bounds an encoding that is part of an update. Longer ones would delay the updates of the other tables: 47 VMs take 10 KB
	// each from a link of 10 Mbit/s in 0.4 s.
	maxInlineBytes = 2 << 10
)

// AllEncodings returns the encodings that this program understands.
func AllEncodings() []Encoding {
	return []Encoding{EncodingDelta, EncodingCompressed, EncodingDeferred}
}

type (
	// RowVersion names a version of a row.
	RowVersion struct {
		Table   model.TableName
		Key     string
		Version int64
	}

	// RowReference names an encoding of a row. Base is the version that a difference is applied to.
	RowReference struct {
		RowVersion
		Encoding Encoding
		Base     int64 `json:",omitempty"`
		// Bytes is the length of the encoding.
		Bytes int
	}

	// EncodedRow is an encoded row. Data is nil if the encoding is deferred.
	EncodedRow struct {
		RowReference
		Data []byte `json:",omitempty"`
	}

	// UpdateRequest states what a VM has and understands. Without Understands it is sent whole rows, as VMs with an older program need them.
	UpdateRequest struct {
		Versions    map[model.TableName]int64
		Understands []Encoding
		// Held are the versions of large rows that the VM has.
		Held []RowVersion
	}
)

// understands reports whether the requesting VM understands an encoding.
func (r UpdateRequest) understands(e Encoding) bool { return slices.Contains(r.Understands, e) }

// held returns the version of a row that the requesting VM has.
func (r UpdateRequest) held(table model.TableName, key string) (int64, bool) {
	for _, h := range r.Held {
		if h.Table == table && h.Key == key {
			return h.Version, true
		}
	}
	return 0, false
}
