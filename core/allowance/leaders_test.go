package allowance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that were admitted after the last answer of a former leader
// and that the new leader does not count.
func TestNewLeaderCountsUnansweredRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	g, former := NewGateway(limits, fixedRand(), now), NewFleet("1")
	must.True(t, g.Admit(now, plainCall).Admitted)
	g.ApplyTotals(now, former.Report(now, "0/1", g.Report(now)))
	must.True(t, g.Admit(now, plainCall).Admitted)
	// The former leader counts this request too, but its answer is lost.
	former.Report(now, "0/1", g.Report(now))
	must.True(t, g.Admit(now, plainCall).Admitted)

	leader := NewFleet("2")
	totals := leader.Report(now, "0/1", g.Report(now))
	must.Len(t, 1, totals.Totals)
	must.Eq(t, 2, totals.Totals[0].Admitted)
}
