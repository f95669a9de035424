package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// pairPattern matches one pair of a log line: a key, and a value that is quoted as in JSON or holds no blank, quote or equals sign.
var pairPattern = regexp.MustCompile(`^([^\s="]+)=("(?:[^"\\\x00-\x1f]|\\.)*"|[^\s="\x00-\x1f]*)(?: |$)`)

type pair struct{ key, value string }

// parseLine returns the pairs of a log line without its line end.
func parseLine(t *testing.T, line string) []pair {
	t.Helper()
	var pairs []pair
	for line != "" {
		found := pairPattern.FindStringSubmatch(line)
		require.NotNil(t, found, "no pair at the beginning of %.200q", line)
		value := found[2]
		if strings.HasPrefix(value, `"`) {
			require.NoError(t, json.Unmarshal([]byte(found[2]), &value), "%.200q", found[2])
		}
		pairs = append(pairs, pair{found[1], value})
		line = line[len(found[0]):]
	}
	return pairs
}

// logged returns the pairs of the line that a logger writes for a value between two others; there has to be exactly one line.
func logged(t *testing.T, value any) []pair {
	t.Helper()
	text := writtenFor(t, value)
	require.Equal(t, 1, strings.Count(text, "\n"), "%.200q", text)
	require.True(t, strings.HasSuffix(text, "\n"))
	require.True(t, utf8.ValidString(text), "%.200q", text)
	pairs := parseLine(t, strings.TrimSuffix(text, "\n"))
	require.Len(t, pairs, 6, "time, level, msg and three pairs")
	require.Equal(t, []pair{{"level", "info"}, {"msg", "statement"}, {"before", "1"}}, pairs[1:4])
	require.Equal(t, "value", pairs[4].key)
	require.Equal(t, pair{"after", "2"}, pairs[5])
	return pairs
}

func writtenFor(t *testing.T, value any) string {
	t.Helper()
	var out bytes.Buffer
	logger, ring, err := New(&out, "info")
	require.NoError(t, err)
	logger.Info("statement", "before", 1, "value", value, "after", 2)
	closeAndWait(ring)
	return out.String()
}

// text is a value that formats itself.
type text string

func (t text) String() string { return string(t) }

// TestValuesStayInTheirPair guards against text of a caller or an instance that begins a second log line or looks like another pair.
func TestValuesStayInTheirPair(t *testing.T) {
	for name, value := range map[string]string{
		"line feed":             "q1\nlevel=info msg=statement id=forged",
		"carriage return":       "q1\rlevel=info msg=forged",
		"CR LF":                 "q1\r\nlevel=info msg=forged",
		"NUL":                   "q1\x00q2",
		"quote and pair":        `q1" outcome=Done x="`,
		"escaped quote":         `q1\" outcome=Done x=\"`,
		"backslash at the end":  `q1 \`,
		"equals":                "outcome=Done",
		"blank":                 "q1 outcome=Done",
		"tab, vertical tab":     "q1\toutcome=Done\voutcome=Done",
		"escape sequence":       "q1\x1b[2Koutcome",
		"delete":                "q1\x7f",
		"not ASCII":             "größe ☃",
		"empty":                 "",
		"quote alone":           `"`,
		"a word of the encoder": "null",
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, value, logged(t, value)[4].value)
			require.Equal(t, value, logged(t, text(value))[4].value, "a Stringer")
			require.Equal(t, value, logged(t, errors.New(value))[4].value, "an error")
			require.Contains(t, logged(t, errors.Wrap(errors.Newf("%s", value), "wrapped"))[4].value, value)
			require.Equal(t, fmt.Sprint([]string{value}), logged(t, []string{value})[4].value, "a list")
			logged(t, []error{errors.New(value)})
			logged(t, struct{ Err error }{errors.New(value)})
			logged(t, map[string]string{value: value})
		})
	}
	require.Equal(t, "q1\ufffdq2", logged(t, "q1\xffq2")[4].value, "what is no text is replaced")
	require.Equal(t, "127.0.0.1:1", logged(t, netip.MustParseAddrPort("127.0.0.1:1"))[4].value)
}

// TestLongValuesAreCut guards against a message of 1 MiB that makes a log line of its size, or hides the pairs that follow it.
func TestLongValuesAreCut(t *testing.T) {
	const size = 1 << 20
	for name, value := range map[string]string{
		"plain":        strings.Repeat("x", size),
		"quoted":       strings.Repeat("x ", size/2),
		"line feeds":   strings.Repeat("\n", size),
		"control":      strings.Repeat("\x00", size),
		"quotes":       strings.Repeat(`"`, size),
		"backslashes":  " " + strings.Repeat(`\`, size),
		"odd escapes":  "  " + strings.Repeat("a\\", size/2),
		"not ASCII":    strings.Repeat("☃", size/3),
		"quoted runes": " " + strings.Repeat("☃", size/3),
		"invalid":      strings.Repeat("\xff", size),
	} {
		t.Run(name, func(t *testing.T) {
			for _, v := range []any{value, errors.New(value), text(value), []string{value}} {
				pairs := logged(t, v)
				require.LessOrEqual(t, len(pairs[4].value), maxValueBytes+len(cutMark), "%T", v)
				require.True(t, strings.HasSuffix(pairs[4].value, cutMark), "%T", v)
				require.Greater(t, len(pairs[4].value), maxValueBytes/8, "the beginning is kept")
			}
			// What is formatted with %+v may lose line feeds and then need no cut.
			require.LessOrEqual(t, len(logged(t, []error{errors.New(value)})[4].value), maxValueBytes+len(cutMark))
			require.Less(t, len(writtenFor(t, value)), maxValueBytes+200)
		})
	}
	whole := strings.Repeat("x", maxValueBytes)
	require.Equal(t, whole, logged(t, whole)[4].value, "a value of the maximum length is kept")
}

// TestLongMessageIsCut guards against an unbounded line by way of its message, which comes from the standard logger of a server, for example.
func TestLongMessageIsCut(t *testing.T) {
	var out bytes.Buffer
	logger, ring, err := New(&out, "info")
	require.NoError(t, err)
	logger.Info(strings.Repeat("a b\n", maxValueBytes))
	closeAndWait(ring)
	require.Less(t, out.Len(), 2*maxValueBytes)
	require.Len(t, parseLine(t, strings.TrimSuffix(out.String(), "\n")), 3)
}
