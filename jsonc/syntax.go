package jsonc

import (
	"strconv"
	"strings"
)

// splitPosition splits "L, column C: message". If rest has another form, it returns line 1, column 1 and whole.
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
