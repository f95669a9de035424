package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// minChunkBytes is the minimum length of a chunk; the search for shorter ones costs more than their bytes.
	minChunkBytes = 24
	// chunkEnd ends a chunk. An object of a JSON document ends with it, however the document is formatted.
	chunkEnd = '}'
)

// encoder encodes one target against a base.
type encoder struct {
	base, target []byte
	// index maps the hash of each chunk of the base to its offset.
	index map[uint64]int
	ops   []byte
	// pending is the offset in the target of the first byte that is not encoded yet, and expected the end of the last copied range of the base.
	pending, expected int
}

// Encode returns the difference from base to target, for Apply. It copies the chunks of target that base holds at any offset.
func Encode(base, target []byte) []byte {
	e := encoder{base: base, target: target, index: indexChunks(base)}
	e.encode()
	return seal(kindDelta, base, target, e.ops)
}

// encode encodes the target as copied ranges of the base and literal bytes.
func (e *encoder) encode() {
	for at := 0; at < len(e.target); {
		end := chunkAfter(e.target, at)
		offset, found := e.find(e.target[at:end])
		if !found {
			at = end
			continue
		}
		at = e.copyAround(at, offset)
	}
	e.literal(len(e.target))
}

// find returns an offset of a chunk in the base. It prefers the bytes after the last copied range.
func (e *encoder) find(chunk []byte) (int, bool) {
	if bytes.HasPrefix(e.base[e.expected:], chunk) {
		return e.expected, true
	}
	offset, found := e.index[xxhash.Sum64(chunk)]
	return offset, found && bytes.HasPrefix(e.base[offset:], chunk)
}

// copyAround encodes the longest common range around an equal chunk, and returns its end in the target.
func (e *encoder) copyAround(at, offset int) int {
	for at > e.pending && offset > 0 && e.target[at-1] == e.base[offset-1] {
		at--
		offset--
	}
	n := commonPrefix(e.target[at:], e.base[offset:])
	e.literal(at)
	e.ops = binary.AppendUvarint(e.ops, uint64(n)<<1|opCopy)
	e.ops = binary.AppendVarint(e.ops, int64(offset-e.expected))
	e.expected = offset + n
	e.pending = at + n
	return e.pending
}

// literal encodes the pending bytes of the target up to an offset as they are.
func (e *encoder) literal(end int) {
	if end > e.pending {
		e.ops = binary.AppendUvarint(e.ops, uint64(end-e.pending)<<1|opLiteral)
		e.ops = append(e.ops, e.target[e.pending:end]...)
	}
	e.pending = end
}

// indexChunks returns the offset of each chunk by its hash.
func indexChunks(value []byte) map[uint64]int {
	index := make(map[uint64]int, len(value)/128)
	for at := 0; at < len(value); {
		end := chunkAfter(value, at)
		index[xxhash.Sum64(value[at:end])] = at
		at = end
	}
	return index
}

// chunkAfter returns the end of the chunk that starts at an offset.
func chunkAfter(value []byte, start int) int {
	from := min(start+minChunkBytes-1, len(value))
	if i := bytes.IndexByte(value[from:], chunkEnd); i >= 0 {
		return from + i + 1
	}
	return len(value)
}

// commonPrefix returns the length of the common prefix of two values.
func commonPrefix(a, b []byte) int {
	const block = 256
	n, most := 0, min(len(a), len(b))
	for n+block <= most && bytes.Equal(a[n:n+block], b[n:n+block]) {
		n += block
	}
	for n < most && a[n] == b[n] {
		n++
	}
	return n
}
