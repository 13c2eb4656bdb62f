package load

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Size of the plot in pixels.
const (
	plotWidth  = 720
	plotHeight = 160
)

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"plot": plot,
}).Parse(`<!doctype html><meta charset="utf-8"><title>Load report</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em 1em;text-align:right}th:first-child,td:first-child{text-align:left}svg{background:#f7f7f7}</style>
<h1>Load report</h1>
<p>{{printf "%.1f" .Config.Rate}} requests/s offered for {{.Config.Duration}}{{if gt .Config.Burst 1.0}}, bursts of {{.Config.Burst}} times every {{.Config.Period}}{{end}}; {{printf "%.1f" .Goodput}} requests/s ran.</p>
<table><tr><th>sent</th><th>ran</th><th>not run</th><th>cut off</th><th>not accepted</th><th>lost</th></tr>
<tr><td>{{.Sent}}</td><td>{{.Ran}}</td><td>{{.NotRun}}</td><td>{{.CutOff}}</td><td>{{.NotAccepted}}</td><td>{{.Lost}}</td></tr></table>
{{if .Kinds}}<table><tr><th>error kind</th><th>requests</th></tr>{{range $k, $n := .Kinds}}<tr><td>{{$k}}</td><td>{{$n}}</td></tr>{{end}}</table>{{end}}
<table><tr><th>ms</th><th>p50</th><th>p95</th><th>p99</th><th>max</th></tr>
{{range $name, $l := .Latencies}}<tr><td>{{$name}}</td><td>{{printf "%.1f" $l.P50}}</td><td>{{printf "%.1f" $l.P95}}</td><td>{{printf "%.1f" $l.P99}}</td><td>{{printf "%.1f" $l.Max}}</td></tr>{{end}}</table>
<h2>Requests ended per second</h2><p>ran (green), not run (amber), cut off (red)</p>{{plot .}}
`))

// Latencies returns the distributions by their names on the page.
func (r Report) Latencies() map[string]Latency {
	return map[string]Latency{
		"first token":    r.FirstToken,
		"between tokens": r.BetweenTokens,
		"whole response": r.Total,
	}
}

// HTML writes the report as a self-contained page.
func (r Report) HTML(w io.Writer) error { return page.Execute(w, r) }

// plot returns an SVG with the outcomes of each second as stacked bars.
func plot(r Report) template.HTML {
	maxCount := 1
	for _, s := range r.Seconds {
		maxCount = max(maxCount, s.Ran+s.NotRun+s.CutOff)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg width="%d" height="%d" role="img">`, plotWidth, plotHeight+20)
	bar := float64(plotWidth) / float64(max(len(r.Seconds), 1))
	for i, s := range r.Seconds {
		y := float64(plotHeight)
		for _, segment := range []struct {
			n     int
			color string
		}{{s.Ran, "#3a3"}, {s.NotRun, "#e90"}, {s.CutOff, "#c22"}} {
			h := float64(segment.n) / float64(maxCount) * plotHeight
			y -= h
			fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, float64(i)*bar, y, bar*0.9, h, segment.color)
		}
	}
	fmt.Fprintf(&b, `<text x="2" y="12" font-size="11">%d/s</text>`, maxCount)
	fmt.Fprintf(&b, `<text x="2" y="%d" font-size="11">0 s</text><text x="%d" y="%d" font-size="11">%d s</text></svg>`,
		plotHeight+14, plotWidth-40, plotHeight+14, len(r.Seconds))
	return template.HTML(b.String())
}

// Text writes the report as plain text.
func (r Report) Text(w io.Writer) {
	fmt.Fprintf(w, "sent %d = ran %d + not run %d + cut off %d + not accepted %d + lost %d\n",
		r.Sent, r.Ran, r.NotRun, r.CutOff, r.NotAccepted, r.Lost)
	fmt.Fprintf(w, "goodput %.1f requests/s of %.1f offered\n", r.Goodput, r.Config.Rate)
	for _, l := range []struct {
		name string
		Latency
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"whole response", r.Total}} {
		fmt.Fprintf(w, "%-15s p50 %.1f  p95 %.1f  p99 %.1f  max %.1f ms\n", l.name, l.P50, l.P95, l.P99, l.Max)
	}
	for k, n := range r.Kinds {
		fmt.Fprintf(w, "%-20s %d\n", k, n)
	}
}
