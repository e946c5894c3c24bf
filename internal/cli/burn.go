package cli

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// burn prints the burn report. It comes from a controller, or from the metrics of routers if
// their metrics URLs are given. If htmlPath is set, the report is also written there as a page.
func (a *App) burn(htmlPath string, metricsURLs []string, objective float64) error {
	report, err := a.burnReport(metricsURLs, objective)
	if err != nil {
		return err
	}
	if htmlPath != "" {
		if err := writePage(htmlPath, report); err != nil {
			return err
		}
	}
	return a.print(report, func(w io.Writer) { printBurn(w, report) })
}

func (a *App) burnReport(metricsURLs []string, objective float64) (burn.Report, error) {
	if len(metricsURLs) == 0 {
		return a.client.Burn()
	}
	if objective <= 0 || objective >= 100 {
		return burn.Report{}, code.New(code.BadUsage, "--objective: %v is not above 0 and below 100", objective)
	}
	return a.scrapeBurn(metricsURLs, objective)
}

func printBurn(w io.Writer, report burn.Report) {
	fmt.Fprintf(w, "from %d of %d routers\n", report.Routers, report.Listed)
	fmt.Fprintln(w, "POOL\tTEAM\tOBJECTIVE\tWINDOW\tGOOD\tBAD\tBURN\tP50\tP95\tP99")
	for _, l := range report.Lines {
		for _, win := range l.Windows {
			fmt.Fprintf(w, "%s\t%s\t%g%%\t%s\t%d\t%d\t%.2f\t%dms\t%dms\t%dms\n", l.Pool, l.Team, l.ObjectivePercent,
				win.Window, win.Good, win.Bad, win.Rate, l.FirstTokenP50, l.FirstTokenP95, l.FirstTokenP99)
		}
	}
}

// pageTemplate is the HTML page of the burn report. The template escapes names.
var pageTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td.hot{background:#fcc}</style>
<h1>Service-level burn</h1>
<p>From {{.Report.Routers}} of {{.Report.Listed}} routers. At a burn of 1 the error budget lasts exactly for its period.</p>
<table>
<tr><th>pool<th>team<th>objective<th>window<th>good<th>bad<th>burn<th>p50<th>p95<th>p99</tr>
{{range $l := .Report.Lines}}{{range .Windows}}<tr><td>{{$l.Pool}}<td>{{$l.Team}}<td>{{$l.ObjectivePercent}}%<td>{{.Window}}<td>{{.Good}}<td>{{.Bad}}<td{{if gt .Rate 1.0}} class="hot"{{end}}>{{printf "%.2f" .Rate}}<td>{{$l.FirstTokenP50}} ms<td>{{$l.FirstTokenP95}} ms<td>{{$l.FirstTokenP99}} ms</tr>
{{end}}{{end}}</table>
{{range .Plots}}<div>{{.}}</div>
{{end}}`))

// writePage writes the burn report as an HTML page with plots.
func writePage(path string, report burn.Report) error {
	var plots []template.HTML
	if len(report.Lines) > 0 {
		for _, p := range []struct {
			title string
			value func(burn.Row) float64
		}{
			{"Burn rate, short window", func(l burn.Row) float64 { return l.Windows[0].Rate }},
			{"First token, 95th percentile, ms", func(l burn.Row) float64 { return float64(l.FirstTokenP95) }},
		} {
			svg, err := drawBars(p.title, report.Lines, p.value)
			if err != nil {
				return err
			}
			plots = append(plots, svg)
		}
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, struct {
		Report burn.Report
		Plots  []template.HTML
	}{report, plots})
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
		return code.New(code.BadUsage, "%s", err)
	}
	return nil
}

// drawBars draws an SVG image with one bar per pool and team.
func drawBars(title string, lines []burn.Row, value func(burn.Row) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	var values plotter.Values
	var names []string
	for _, l := range lines {
		values = append(values, value(l))
		names = append(names, l.Pool+"/"+l.Team)
	}
	chart, err := plotter.NewBarChart(values, vg.Points(20))
	if err != nil {
		return "", errors.Wrap(err, "draw bars")
	}
	p.Add(chart)
	p.NominalX(names...)
	p.Y.Min = 0
	w, err := p.WriterTo(vg.Points(float64(200+70*len(lines))), vg.Points(260), "svg")
	if err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	// The plot library escapes text in its SVG output.
	return template.HTML(out.String()), nil
}
