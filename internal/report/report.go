// Package report renders the records of a measurement as one static HTML page with
// a plot for each measure.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/mangoknot/mangoknot/internal/measure/record"
)

// Size of a plot, and width of a bar in points.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14
)

// metric describes one plotted measure.
type metric struct {
	Title string
	Unit  string
	value func(record.Record) float64
}

var metrics = []metric{
	{"Program latency, mean", "seconds", func(r record.Record) float64 { return r.ProgramLatencyMean }},
	{"Program latency, 99th percentile", "seconds", func(r record.Record) float64 { return r.ProgramLatencyP99 }},
	{"Wasted cache", "fraction of the prefill", func(r record.Record) float64 { return r.WastedCacheRatio }},
	{"Worst-served client account", "fraction of its fair share", func(r record.Record) float64 { return r.WorstAccountShare }},
	{"Refused inside the rate", "fraction of the requests", func(r record.Record) float64 { return r.RefusedInsideRate }},
}

// Read decodes the records that mangoknot-measure writes. A file without records is
// an error.
func Read(r io.Reader) ([]record.Record, error) {
	var records []record.Record
	if err := json.NewDecoder(r).Decode(&records); err != nil {
		return nil, fmt.Errorf("report: the file is not a list of records of mangoknot-measure: %w", err)
	}
	if len(records) == 0 {
		return nil, fmt.Errorf("report: the file holds no record; run make measure first")
	}
	return records, nil
}

// Write writes the page with a plot for each measure and a table of all records.
func Write(w io.Writer, records []record.Record) error {
	page := pageData{Records: records}
	for _, m := range metrics {
		svg, err := plotMetric(m, records)
		if err != nil {
			return fmt.Errorf("report: plot %s: %w", m.Title, err)
		}
		page.Plots = append(page.Plots, template.HTML(svg))
	}
	return pageTemplate.Execute(w, page)
}

// plotMetric returns an SVG bar chart of the measure for each scenario and policy,
// as the mean over the seeds.
func plotMetric(m metric, records []record.Record) (string, error) {
	scenarios, policies := names(records)
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = m.Title, m.Unit, 0
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(means(m, records, scenarios, policy), vg.Points(barWidth))
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.Legend.Top = true
	p.NominalX(scenarios...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// HTML does not allow the XML declaration that precedes the SVG element.
	if start := bytes.Index(out.Bytes(), []byte("<svg")); start > 0 {
		return string(out.Bytes()[start:]), nil
	}
	return out.String(), nil
}

// names returns the scenarios in the order of the records and the sorted policies.
func names(records []record.Record) (scenarios, policies []string) {
	for _, r := range records {
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
	}
	slices.Sort(policies)
	return scenarios, policies
}

// means returns the mean of the measure over the seeds for each scenario, and 0 for
// a scenario without records of the policy.
func means(m metric, records []record.Record, scenarios []string, policy string) plotter.Values {
	out := make(plotter.Values, len(scenarios))
	for i, scenario := range scenarios {
		sum, count := 0.0, 0
		for _, r := range records {
			if r.Scenario == scenario && r.Policy == policy {
				sum += m.value(r)
				count++
			}
		}
		if count > 0 {
			out[i] = sum / float64(count)
		}
	}
	return out
}
