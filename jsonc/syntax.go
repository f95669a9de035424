package jsonc

import (
	"strconv"
	"strings"
)

// splitPosition splits "L, column C: message". If rest has another form, it returns line 1, column 1 and original.
func splitPosition(rest, original string) (line, column int, message string) {
	position, text, ok := strings.Cut(rest, ": ")
	if !ok {
		return 1, 1, original
	}
	first, second, ok := strings.Cut(position, ", column ")
	if !ok {
		return 1, 1, original
	}
	line, lineErr := strconv.Atoi(first)
	column, columnErr := strconv.Atoi(second)
	if lineErr != nil || columnErr != nil {
		return 1, 1, original
	}
	return line, column, text
}
