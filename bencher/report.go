package bencher

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"
	"io"
	"math"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var routingReportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse}
td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}
tr.product{background:#eef6ee}</style></head><body><h1>{{.Title}}</h1>
<p>Latencies count from the intended start of a call, in ms, scaled back to the stated service time.
Policies took turns in one run; p99/best compares with the best baseline of the same scenario.</p>
{{range .Sections}}<h2>{{.Name}}</h2><img alt="latency by quantile" src="data:image/png;base64,{{.Plot}}">
<table><tr><th>policy</th><th>calls</th><th>p50</th><th>p99</th><th>p99.9</th><th>target met</th><th>not run</th>
<th>failed</th><th>retries</th><th>hedges</th><th>measuring B/call</th><th>cross-region</th><th>good/s</th><th>p99/best</th></tr>
{{range .Lines}}<tr{{if eq .Policy $.Product}} class="product"{{end}}><td>{{.Policy}}</td><td>{{.Calls}}</td>
<td>{{printf "%.1f" .P50Ms}}</td><td>{{printf "%.1f" .P99Ms}}</td><td>{{printf "%.1f" .P999Ms}}</td>
<td>{{printf "%.4f" .Met}}</td><td>{{printf "%.4f" .NotRun}}</td><td>{{printf "%.4f" .Failed}}</td>
<td>{{printf "%.3f" .Retries}}</td><td>{{printf "%.3f" .Hedges}}</td><td>{{printf "%.1f" .Measuring}}</td>
<td>{{printf "%.3f" .CrossRegion}}</td><td>{{printf "%.0f" .GoodPerS}}</td><td>{{printf "%.2f" .P99ToBest}}</td></tr>
{{end}}</table>{{end}}</body></html>
`))

type section struct {
	Name  string
	Plot  string
	Lines []routingResult
}

type report struct {
	Title    string
	Product  string
	Sections []section
}

// renderRouting writes a self-contained HTML report with a table and a plot for
// each scenario.
func renderRouting(w io.Writer, user string, results []routingResult) error {
	r := report{Title: "Routing policies, " + user, Product: ownPolicy}
	for _, l := range results {
		if len(r.Sections) == 0 || r.Sections[len(r.Sections)-1].Name != l.Scenario {
			r.Sections = append(r.Sections, section{Name: l.Scenario})
		}
		last := &r.Sections[len(r.Sections)-1]
		last.Lines = append(last.Lines, l)
	}
	for i := range r.Sections {
		image, err := plotQuantiles(r.Sections[i])
		if err != nil {
			return err
		}
		r.Sections[i].Plot = base64.StdEncoding.EncodeToString(image)
	}
	if err := routingReportTemplate.Execute(w, r); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

var colours = []color.Color{
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotQuantiles plots latency on a logarithmic axis against the quantile, whose
// axis counts nines: 1 is 90%, 2 is 99%.
func plotQuantiles(s section) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "quantile (1 = 90%, 2 = 99%, 3 = 99.9%)"
	p.Y.Label.Text = "latency in ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for i, l := range s.Lines {
		line, err := plotter.NewLine(l.curve())
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		line.Color = colours[i%len(colours)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(l.Policy, line)
	}
	image, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	var data bytes.Buffer
	if _, err := image.WriteTo(&data); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	return data.Bytes(), nil
}

// curve returns the latency in unscaled milliseconds at evenly spaced numbers of
// nines.
func (l routingResult) curve() plotter.XYs {
	const maxNines, step = 3.5, 0.05
	var points plotter.XYs
	for nines := 0.05; nines <= maxNines; nines += step {
		percent := 100 * (1 - math.Pow(10, -nines))
		ms := l.summary.Quantile(percent).Seconds() * 1000 / l.ScaleFactor
		points = append(points, plotter.XY{X: nines, Y: max(ms, 0.01)})
	}
	return points
}
