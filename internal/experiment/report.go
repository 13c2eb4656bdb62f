package experiment

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Sizes of the plot in pixels.
const (
	barHeight = 18
	barWidth  = 420
	nameWidth = 180
)

// Report is a comparison of planners.
type Report struct {
	Title   string
	Results []Result
}

var page = template.Must(template.New("plans").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) },
	"streams": func(r Report) template.HTML {
		return bars(r.Results, func(x Result) float64 { return x.Streams })
	},
	"prompts": func(r Report) template.HTML {
		return bars(r.Results, func(x Result) float64 { return x.Prompts })
	},
}).Parse(`<!doctype html><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em 1em;text-align:right}th:first-child,td:first-child{text-align:left}svg{background:#f7f7f7}</style>
<h1>{{.Title}}</h1>
<table><tr><th>planner</th><th>streams at once</th><th>of the bound</th><th>prompts/s</th><th>of the bound</th><th>uncovered layers</th></tr>
{{range .Results}}<tr><td>{{.Planner}}</td><td>{{printf "%.0f" .Streams}}</td><td>{{percent .StreamShare}}</td><td>{{printf "%.0f" .Prompts}}</td><td>{{percent .PromptShare}}</td><td>{{.UncoveredLayers}}</td></tr>{{end}}</table>
<h2>Streams at once, over all domains</h2>{{streams .}}
<h2>Prompts per second, over all domains</h2>{{prompts .}}
<h2>Each failure domain with its own engines</h2>
<table><tr><th>planner</th><th>domain</th><th>streams at once</th><th>after the worst loss</th><th>prompts/s</th><th>ms a token</th><th>engines in a chain</th><th>layers held twice</th></tr>
{{range .Results}}{{$p := .Planner}}{{range .Domains}}<tr><td>{{$p}}</td><td>{{.Name}}</td><td>{{printf "%.0f" .Streams}}</td><td>{{printf "%.0f" .AfterLoss}}</td><td>{{printf "%.0f" .Prompts}}</td><td>{{printf "%.1f" .TokenMS}}</td><td>{{.MinStages}}</td><td>{{percent .ReplicatedShare}}</td></tr>{{end}}{{end}}</table>
`))

// HTML writes the report as a self-contained page.
func (r Report) HTML(w io.Writer) error { return page.Execute(w, r) }

// Text writes the report as tables.
func (r Report) Text(w io.Writer) {
	fmt.Fprintf(w, "%-20s %15s %9s %10s %9s %5s\n", "PLANNER", "STREAMS AT ONCE", "OF BOUND", "PROMPTS/S", "OF BOUND", "BARE")
	for _, x := range r.Results {
		fmt.Fprintf(w, "%-20s %15.0f %8.0f%% %10.0f %8.0f%% %5d\n", x.Planner, x.Streams, 100*x.StreamShare, x.Prompts, 100*x.PromptShare, x.UncoveredLayers)
	}
	fmt.Fprintf(w, "\n%-20s %-16s %15s %10s %10s %11s %8s %10s\n", "PLANNER", "FAILURE DOMAIN", "STREAMS AT ONCE", "AFTER LOSS", "PROMPTS/S", "MS A TOKEN", "ENGINES", "HELD TWICE")
	for _, x := range r.Results {
		for _, d := range x.Domains {
			fmt.Fprintf(w, "%-20s %-16s %15.0f %10.0f %10.0f %11.1f %8d %9.0f%%\n", x.Planner, d.Name, d.Streams, d.AfterLoss, d.Prompts, d.TokenMS, d.MinStages, 100*d.ReplicatedShare)
		}
	}
}

// bars returns an SVG with one value of each planner.
func bars(results []Result, value func(Result) float64) template.HTML {
	maxValue := 0.0
	for _, r := range results {
		maxValue = max(maxValue, value(r))
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg width="%d" height="%d" role="img">`, nameWidth+barWidth+80, barHeight*len(results)+4)
	for i, r := range results {
		width := 0.0
		if maxValue > 0 {
			width = value(r) / maxValue * barWidth
		}
		y := i*barHeight + 2
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text>`, y+barHeight-5, template.HTMLEscapeString(r.Planner))
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="#38a"/>`, nameWidth, y, width, barHeight-4)
		fmt.Fprintf(&b, `<text x="%.1f" y="%d">%.0f</text>`, nameWidth+width+6, y+barHeight-5, value(r))
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) // contains only numbers and escaped names
}
