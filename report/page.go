package report

import (
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"time"
)

type (
	page struct {
		Now        string
		Source     string
		PageBurn   float64
		TicketBurn float64
		Rows       []row
	}
	row struct {
		Team, Route  string
		Level        Level
		Requests     int64
		Availability string
		LatencyShare string
		Burns        []burnCell
		Picture      template.URL
	}
	burnCell struct {
		Window       string
		Availability string
		Latency      string
	}
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:62rem;color:#1c2430;padding:0 1rem}
h1{font-size:1.5rem;margin-bottom:.2rem} p.note{color:#586374;margin-top:0}
table{border-collapse:collapse;width:100%} th,td{text-align:left;padding:.35rem .6rem;border-bottom:1px solid #dde2e9}
td.n{text-align:right;font-variant-numeric:tabular-nums} th.n{text-align:right}
.Sound{color:#22754a}.Ticket{color:#a36a00;font-weight:600}.Page{color:#b3261e;font-weight:700}
section{border:1px solid #dde2e9;border-radius:8px;padding:.8rem 1rem;margin:1.2rem 0} section h2{font-size:1.05rem;margin:0 0 .5rem}
img{max-width:100%}
</style></head><body>
<h1>Service-level burn</h1>
<p class="note">{{.Now}}, from {{.Source}}. A burn of 1 uses a budget up exactly over 30 days.
Page: at least {{.PageBurn}} over 5 minutes and 1 hour. Ticket: at least {{.TicketBurn}} over 5 and 30 minutes.</p>
<table><tr><th>Team</th><th>Route</th><th>Level</th><th class="n">Requests</th>{{range (index .Rows 0).Burns}}<th class="n">{{.Window}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Team}}</td><td>{{.Route}}</td><td class="{{.Level}}">{{.Level}}</td><td class="n">{{.Requests}}</td>
{{range .Burns}}<td class="n">{{.Availability}} / {{.Latency}}</td>{{end}}</tr>
{{end}}</table>
<p class="note">The columns show the burn of availability / of latency over each window.</p>
{{range .Rows}}<section><h2>{{.Team}} on {{.Route}} <span class="{{.Level}}">{{.Level}}</span></h2>
<p class="note">Objectives: {{.Availability}} of the requests done, {{.LatencyShare}} of these within the target.</p>
<img alt="burn over time" src="{{.Picture}}"></section>
{{end}}</body></html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, now time.Time, source string, all []Series) error {
	p := page{Now: now.Format("2006-01-02 15:04:05"), Source: source, PageBurn: pageBurnRate, TicketBurn: ticketBurnRate}
	for _, series := range all {
		r, err := series.row(now)
		if err != nil {
			return err
		}
		p.Rows = append(p.Rows, r)
	}
	if len(p.Rows) == 0 {
		p.Rows = []row{{Team: "(no requests)", Level: LevelOK}}
	}
	return pageTemplate.Execute(w, p)
}

func (s Series) row(now time.Time) (row, error) {
	picture, err := s.Plot(now)
	if err != nil {
		return row{}, err
	}
	r := row{
		Team:         teamLabel(s),
		Route:        string(s.Route),
		Level:        s.LevelAt(now),
		Availability: fmt.Sprintf("%.4g%%", 100*s.Availability),
		LatencyShare: fmt.Sprintf("%.4g%%", 100*s.LatencyShare),
		Picture:      template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(picture)), //nolint:gosec // The picture is drawn here.
	}
	for _, window := range Windows() {
		burn := s.BurnOver(now, window)
		r.Requests = burn.Requests
		r.Burns = append(r.Burns, burnCell{
			Window:       fmt.Sprintf("%d min", int(window.Minutes())),
			Availability: fmt.Sprintf("%.1f", burn.Availability),
			Latency:      fmt.Sprintf("%.1f", burn.Latency),
		})
	}
	return r, nil
}
