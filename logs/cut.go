package logs

import (
	"bytes"
	"io"
	"unicode/utf8"
)

const (
	// maxValueBytes is the maximum length of a value in a line, as it is written; longer ones are cut.
	maxValueBytes = 2 << 10
	// cutMark stands at the end of a value that was cut.
	cutMark = "…"
	// escapeBytes is the length of the longest escape sequence in a quoted value, \u0000.
	escapeBytes = 6
)

// cutter is a writer that cuts the long values of the lines it is given. A message of a caller or an instance may be 1 MiB long and become part
// of a line.
type cutter struct{ out io.Writer }

// CutValues returns a writer that passes log lines on to out and shortens the values in them that are very long.
func CutValues(out io.Writer) io.Writer { return cutter{out} }

// Write passes on one line.
func (c cutter) Write(line []byte) (int, error) {
	if len(line) <= maxValueBytes {
		return c.out.Write(line)
	}
	if _, err := c.out.Write(cutLine(line)); err != nil {
		return 0, err
	}
	return len(line), nil
}

// cutLine returns a line of key=value pairs in which no value is longer than maxValueBytes. The keys are part of the program and short.
func cutLine(line []byte) []byte {
	var short []byte
	for len(line) > 0 {
		start := bytes.IndexByte(line, '=') + 1
		if start == 0 {
			break
		}
		end := start + valueLength(line[start:])
		short = append(append(short, line[:start]...), cutValue(line[start:end])...)
		line = line[end:]
	}
	return append(short, line...)
}

// valueLength returns the length of the value at the beginning of the text, with its quotes.
func valueLength(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		if end := bytes.IndexAny(text, " \n"); end >= 0 {
			return end
		}
		return len(text)
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// cutValue returns the beginning of a value that is too long. It ends between two characters, and a quoted value keeps its quotes.
func cutValue(value []byte) []byte {
	if len(value) <= maxValueBytes {
		return value
	}
	if value[0] == '"' {
		return append(quotedBeginning(value), cutMark+`"`...)
	}
	end := maxValueBytes
	for !utf8.RuneStart(value[end]) {
		end--
	}
	return append(bytes.Clone(value[:end]), cutMark...)
}

// quotedBeginning returns the beginning of a long quoted value, up to a character or an escape sequence that is too much.
func quotedBeginning(value []byte) []byte {
	end := 1
	for {
		size := 1
		switch {
		case value[end] == '\\' && value[end+1] == 'u':
			size = escapeBytes
		case value[end] == '\\':
			size = 2
		case value[end] >= utf8.RuneSelf:
			_, size = utf8.DecodeRune(value[end:])
		}
		if end+size > maxValueBytes {
			return bytes.Clone(value[:end])
		}
		end += size
	}
}
