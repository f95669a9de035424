package report

import (
	"bytes"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 23 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

var (
	availabilityColor = color.RGBA{R: 196, G: 60, B: 48, A: 255}
	latencyColor      = color.RGBA{R: 36, G: 98, B: 168, A: 255}
)

// Plot draws the burn rates of each slot as a PNG picture, whose time axis shows minutes relative to now.
func (s Series) Plot(now time.Time) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.Legend.Top = true
	availability, latency := s.points(now)
	if err := addLine(p, "availability", availability, availabilityColor); err != nil {
		return nil, err
	}
	if err := addLine(p, "latency", latency, latencyColor); err != nil {
		return nil, err
	}
	p.Y.Max = max(p.Y.Max, 1)
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, err
	}
	var picture bytes.Buffer
	_, err = writer.WriteTo(&picture)
	return picture.Bytes(), err
}

func (s Series) points(now time.Time) (availability, latency plotter.XYs) {
	for _, slot := range s.Slots {
		burn := s.burnFor(SlotDuration, slot)
		minutes := slot.Start.Sub(now).Minutes()
		availability = append(availability, plotter.XY{X: minutes, Y: burn.Availability})
		latency = append(latency, plotter.XY{X: minutes, Y: burn.Latency})
	}
	return availability, latency
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, dots.Color = c, c
	dots.Radius = vg.Points(1.5)
	p.Add(line, dots)
	p.Legend.Add(name, line)
	return nil
}
