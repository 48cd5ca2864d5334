package report

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/internal/measure/record"
)

// Guards against a page that lacks the plot of a measure, against names in records
// that are not escaped in HTML, and against an empty file that is accepted.
func TestWrite(t *testing.T) {
	var page bytes.Buffer
	records := []record.Record{
		{Scenario: "half", Policy: "project", ProgramLatencyMean: 2},
		{Scenario: "half", Policy: "<b>", ProgramLatencyMean: 4},
	}
	must.NoError(t, Write(&page, records))
	must.Eq(t, len(metrics), strings.Count(page.String(), "<svg"))
	must.StrNotContains(t, page.String(), "<td><b>")
	_, err := Read(strings.NewReader("[]"))
	must.ErrorContains(t, err, "make measure")
}
