package delta

import (
	"bytes"
	"compress/flate"
	"io"
	"runtime"

	"github.com/cockroachdb/errors"
)

// yieldBytes is the number of bytes after which compression yields the processor: about 0.2 ms of work on a whole core.
const yieldBytes = 8 << 10

// Compress returns a value in compressed form, for Decompress.
func Compress(value []byte) []byte { return seal(kindWhole, nil, value, value) }

// Decompress returns the value that Compress was given.
func Decompress(compressed []byte) ([]byte, error) {
	h, value, err := open(kindWhole, nil, compressed)
	if err != nil {
		return nil, err
	}
	return value, h.check(value)
}

// deflate compresses a text.
func deflate(text []byte) []byte {
	var out bytes.Buffer
	// The errors are ignored: the level is valid, and writes to a buffer do not fail.
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	for ; len(text) > yieldBytes; text = text[yieldBytes:] {
		_, _ = w.Write(text[:yieldBytes])
		runtime.Gosched()
	}
	_, _ = w.Write(text)
	_ = w.Close()
	return out.Bytes()
}

// inflate is the inverse of deflate; it fails for a text of more than maxValueBytes.
func inflate(compressed []byte) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxValueBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "cannot decompress"), ErrCorrupted)
	}
	if len(text) > maxValueBytes {
		return nil, errors.Wrap(ErrCorrupted, "too long")
	}
	return text, nil
}
