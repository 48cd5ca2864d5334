package report

import (
	"html/template"

	"github.com/mangoknot/mangoknot/internal/measure/record"
)

// pageData is the input of pageTemplate.
type pageData struct {
	Plots   []template.HTML
	Records []record.Record
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>mangoknot measurements</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
</style>
<h1>mangoknot measurements</h1>
<p>Bars are means over the seeds. docs/measurements.md defines the fields.</p>
{{range .Plots}}<div>{{.}}</div>
{{end}}
<table>
<tr><th>scenario<th>policy<th>seed<th>mean s<th>p95 s<th>p99 s<th>first token p95 s<th>wasted cache<th>worst share<th>refused inside rate<th>cross-region bytes</tr>
{{range .Records}}<tr><td>{{.Scenario}}<td>{{.Policy}}<td>{{.Seed}}<td>{{printf "%.2f" .ProgramLatencyMean}}<td>{{printf "%.2f" .ProgramLatencyP95}}<td>{{printf "%.2f" .ProgramLatencyP99}}<td>{{printf "%.2f" .FirstTokenP95}}<td>{{printf "%.3f" .WastedCacheRatio}}<td>{{printf "%.3f" .WorstAccountShare}}<td>{{printf "%.4f" .RefusedInsideRate}}<td>{{.CrossRegionBytes}}</tr>
{{end}}</table>
</html>
`))
