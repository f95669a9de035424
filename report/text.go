package report

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Text returns the report as a table for a terminal.
func Text(now time.Time, all []Series) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TEAM\tROUTE\tLEVEL\tREQUESTS\tAVAILABILITY BURN 5m/30m/1h\tLATENCY BURN 5m/30m/1h")
	for _, series := range all {
		var availability, latency []string
		var requests int64
		for _, window := range Windows() {
			burn := series.BurnOver(now, window)
			availability = append(availability, fmt.Sprintf("%.1f", burn.Availability))
			latency = append(latency, fmt.Sprintf("%.1f", burn.Latency))
			requests = burn.Requests
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", teamLabel(series), series.Route, series.LevelAt(now), requests,
			strings.Join(availability, " / "), strings.Join(latency, " / "))
	}
	_ = w.Flush()
	return text.String()
}

// teamLabel returns the team of a series, or "(open)" for requests without a key.
func teamLabel(series Series) string {
	if series.Team == "" {
		return "(open)"
	}
	return string(series.Team)
}
