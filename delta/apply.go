package delta

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// The lowest bit of an operation's header is its kind; the other bits are its length in bytes.
const (
	// opLiteral is followed by bytes of the target.
	opLiteral = 0
	// opCopy is followed by the distance of a range of the base from the end of the last copied one.
	opCopy = 1
)

var (
	// ErrWrongBase reports a difference that was encoded against another base.
	ErrWrongBase = errors.New("the difference has another base")
	// ErrCorrupted reports an encoding that does not decode to the encoded value.
	ErrCorrupted = errors.New("the encoding is corrupted")
)

// Apply returns the target of a difference that Encode returned for the same base.
func Apply(base, difference []byte) ([]byte, error) {
	h, ops, err := open(kindDelta, base, difference)
	if err != nil {
		return nil, err
	}
	target := make([]byte, 0, h.targetBytes)
	for expected := 0; len(ops) > 0; {
		var piece []byte
		if piece, ops, expected, err = nextPiece(base, ops, expected); err != nil {
			return nil, err
		}
		if len(target)+len(piece) > h.targetBytes {
			return nil, errors.Wrap(ErrCorrupted, "too long")
		}
		target = append(target, piece...)
	}
	return target, h.check(target)
}

// nextPiece decodes one operation. It returns the bytes that it adds to the target, the remaining operations, and the end of the last copied range.
func nextPiece(base, ops []byte, expected int) (piece, rest []byte, end int, err error) {
	header, n := binary.Uvarint(ops)
	length := header >> 1
	if n <= 0 || length == 0 || length > maxValueBytes {
		return nil, nil, 0, errors.Wrap(ErrCorrupted, "operation")
	}
	ops = ops[n:]
	if header&1 == opLiteral {
		if length > uint64(len(ops)) {
			return nil, nil, 0, errors.Wrap(ErrCorrupted, "literal")
		}
		return ops[:length], ops[length:], expected, nil
	}
	moved, n := binary.Varint(ops)
	offset := int64(expected) + moved
	if n <= 0 || offset < 0 || offset > int64(len(base)) || length > uint64(int64(len(base))-offset) {
		return nil, nil, 0, errors.Wrap(ErrCorrupted, "copied range")
	}
	end = int(offset) + int(length)
	return base[offset:end], ops[n:], end, nil
}
