package tree

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/jsonc"
)

const validTree = `{
  // The whole fleet.
  "Fleet": {"Rate": 100, "MaxAge": "2s"},
  "Teams": {
    "Sales": {"Burst": 50},
    "Dealers": {"Parent": "Teams/Sales", "Rate": 30},
  },
  "Routes": {
    "Quotes": {"Parent": "Teams/Dealers", "Group": "Truss1", "MaxAge": "0s"},
    "Catalogue": {"Group": "Truss1", "Open": true, "Rate": 10},
  },
  "Groups": {
    "Truss1": {"Instances": {"A": {"Address": "127.0.0.1:9001", "Domain": "East"}}},
  },
}`

func TestSettingsInherit(t *testing.T) {
	tree, err := Parse("sound.json", []byte(validTree))
	require.NoError(t, err)
	settings := tree.Settings("Routes/Quotes")
	require.Equal(t, 30.0, settings.Rate)
	require.Equal(t, 50.0, settings.Burst)
	require.Equal(t, time.Duration(0), settings.MaxAge)
	require.Equal(t, Defaults().Deadline, settings.Deadline)

	origin := map[string]string{}
	for _, effective := range tree.Explain("Routes/Quotes") {
		origin[effective.Name] = effective.From
	}
	require.Equal(t, "Teams/Dealers", origin["Rate"])
	require.Equal(t, "Teams/Sales", origin["Burst"])
	require.Equal(t, "Routes/Quotes", origin["MaxAge"])
	require.Equal(t, "default", origin["Deadline"])

	quotes, ok := tree.Route("Quotes")
	require.True(t, ok)
	require.EqualValues(t, "Dealers", quotes.Team)
	require.False(t, quotes.OwnLimit)
	catalogue, ok := tree.Route("Catalogue")
	require.True(t, ok)
	require.True(t, catalogue.Open)
	require.True(t, catalogue.OwnLimit)
}

func TestParseReportsEveryFinding(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"unknown name", `{"Fleet": {"Rat": 1}}`, []string{"the name Rat is not known"}},
		{"wrong unit", `{"Fleet": {"MaxAge": 2}}`, []string{"the time has no unit"}},
		{"bad unit", `{"Fleet": {"MaxAge": "2 parsecs"}}`, []string{`"2 parsecs" is not a time`}},
		{"loop", `{"Teams": {"A": {"Parent": "Teams/B"}, "B": {"Parent": "Teams/A"}}}`, []string{"the parents form a loop"}},
		{"node is its own parent", `{"Teams": {"A": {"Parent": "Teams/A"}}}`, []string{"the parents form a loop"}},
		{"two loops and a node that leads into one", `{"Teams": {"A": {"Parent": "Teams/C"}, "B": {"Parent": "Teams/C"}, "C": {"Parent": "Teams/B"}, "D": {"Parent": "Teams/D"}}}`, []string{"the parents form a loop", "the parents form a loop"}},
		{"route without a group", `{"Routes": {"R": {}}}`, []string{"the route has no Group"}},
		{"group does not exist", `{"Routes": {"R": {"Group": "G"}}}`, []string{"the group G does not exist"}},
		{"fleet option in a team", `{"Teams": {"A": {"KeyBound": "1s"}}}`, []string{"KeyBound holds for the whole fleet"}},
		{"host name in place of an address", `{"Groups": {"G": {"Instances": {"A": {"Address": "db.example:1", "Domain": "East"}}}}}`, []string{`"db.example:1" is not an address`}},
		{"duplicate name", `{"Fleet": {"Rate": 1, "Rate": 2}}`, []string{"the name stands twice"}},
		{"parent does not exist", `{"Teams": {"A": {"Parent": "Teams/B"}}}`, []string{"the parent Teams/B does not exist"}},
		{"two findings in the order of the text", "{\"Fleet\": {\"Rate\": -1,\n \"Class\": \"First\"}}", []string{"the number is out of range", `"First" is not a choice`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("bad.json", []byte(c.text))
			var findings *jsonc.Findings
			require.ErrorAs(t, err, &findings)
			var got []string
			for _, finding := range findings.List() {
				require.NotEmpty(t, finding.Advice)
				require.Positive(t, finding.Location.Line)
				got = append(got, finding.Message)
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	_, err := Parse("bad.json", []byte("{\n  \"Fleet\": {,}\n}"))
	var findings *jsonc.Findings
	require.ErrorAs(t, err, &findings)
	require.Equal(t, 2, findings.List()[0].Location.Line)
}

func TestRowsAndTextRebuildTheTree(t *testing.T) {
	tree, err := Parse("sound.json", []byte(validTree))
	require.NoError(t, err)
	fromRows, err := FromRows(tree.Rows())
	require.NoError(t, err)
	require.Equal(t, tree.Rows(), fromRows.Rows())
	text, err := tree.Text()
	require.NoError(t, err)
	fromText, err := Parse("text.json", []byte(text))
	require.NoError(t, err)
	require.Equal(t, tree.Settings("Routes/Quotes"), fromText.Settings("Routes/Quotes"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTree))
	f.Add([]byte(`{"Teams": {"A": {"Parent": "Teams/A"}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := Parse("fuzz.json", text)
		if err != nil {
			return
		}
		for _, path := range tree.Paths() {
			tree.Settings(path)
		}
	})
}
