package lint

import (
	"strconv"
	"strings"
)

// splitPosition takes "L, column C: message" apart.
func splitPosition(rest, whole string) (line, column int, message string) {
	position, text, ok := strings.Cut(rest, ": ")
	if !ok {
		return 1, 1, whole
	}
	first, second, ok := strings.Cut(position, ", column ")
	if !ok {
		return 1, 1, whole
	}
	line, lineErr := strconv.Atoi(first)
	column, columnErr := strconv.Atoi(second)
	if lineErr != nil || columnErr != nil {
		return 1, 1, whole
	}
	return line, column, text
}
