package delta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// kindDelta and kindWhole are the first byte of an encoding.
	kindDelta = 'D'
	kindWhole = 'W'
	// headerBytes is the length of a header: the kind, the length of the target, and the checksums of base and target.
	headerBytes = 1 + 4 + 8 + 8
	// maxValueBytes bounds the values that are decoded, so that a corrupted encoding cannot use up the memory.
	maxValueBytes = 16 << 20
)

// header describes the target of an encoding.
type header struct {
	targetBytes int
	targetSum   uint64
}

// seal returns an encoding: a header and the compressed body.
func seal(kind byte, base, target, body []byte) []byte {
	sealed := make([]byte, 0, headerBytes)
	sealed = append(sealed, kind)
	sealed = binary.BigEndian.AppendUint32(sealed, uint32(len(target)))
	sealed = binary.BigEndian.AppendUint64(sealed, xxhash.Sum64(base))
	sealed = binary.BigEndian.AppendUint64(sealed, xxhash.Sum64(target))
	return append(sealed, deflate(body)...)
}

// open checks the header of an encoding and returns it with the decompressed body.
func open(kind byte, base, sealed []byte) (header, []byte, error) {
	if len(sealed) < headerBytes || sealed[0] != kind {
		return header{}, nil, errors.Wrap(ErrCorrupted, "header")
	}
	h := header{targetBytes: int(binary.BigEndian.Uint32(sealed[1:])), targetSum: binary.BigEndian.Uint64(sealed[13:])}
	if h.targetBytes > maxValueBytes {
		return header{}, nil, errors.Wrap(ErrCorrupted, "length")
	}
	if binary.BigEndian.Uint64(sealed[5:]) != xxhash.Sum64(base) {
		return header{}, nil, ErrWrongBase
	}
	body, err := inflate(sealed[headerBytes:])
	return h, body, err
}

// check returns an error if a value is not the target.
func (h header) check(value []byte) error {
	if len(value) != h.targetBytes || xxhash.Sum64(value) != h.targetSum {
		return errors.Wrap(ErrCorrupted, "checksum")
	}
	return nil
}
