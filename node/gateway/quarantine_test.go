package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/quarantine"
)

// tell applies what the leader says of requests that crash targets.
func (r *rig) tell(g *Gateway, suspected, quarantined []quarantine.Fingerprint) {
	g.Apply(&coordinator.View{Authoritative: true, Suspected: suspected, Quarantined: quarantined, Allowances: allowance.Totals{Gateways: 1}})
	must.NoError(r.t, g.Do(r.t.Context(), func(time.Time) {}))
}

func fingerprintOfRequest(g *Gateway, q *Request) quarantine.Fingerprint {
	e := &exchange{Request: q, g: g, account: "acme"}
	return e.fingerprintOf()
}

// Guards against a turn that is refused as a crasher because other programs have sent the same input
// (LOST in the second review), and against a crasher that runs when it is sent again.
func TestTurnsWithSameInputAreDifferentRequests(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	for _, id := range []string{"1", "2"} {
		refusal, _ := r.serve(g, turnRequest(id, ""))
		must.Nil(t, refusal)
	}
	goOn := func(id, previous string) *Request {
		q := turnRequest(id, previous)
		q.Body, q.Budget = []byte("go on"), 1000
		return q
	}
	r.tell(g, nil, []quarantine.Fingerprint{fingerprintOfRequest(g, goOn("3", "1"))})
	refusal, _ := r.serve(g, goOn("3-again", "1"))
	must.Eq(t, SuspectRequest, refusal.Kind)
	refusal, _ = r.serve(g, goOn("4", "2"))
	must.Nil(t, refusal)
}

// Guards against an answer of a suspected request that the leader does not learn of, and against a
// list of quarantined requests that is not applied because it has the length of the one before.
func TestAnswersOfSuspectedRequestsAreReported(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	served := func() []quarantine.Fingerprint {
		report, err := g.Report(t.Context())
		must.NoError(t, err)
		return report.Served
	}
	suspect, other := turnRequest("1", ""), turnRequest("2", "")
	f := fingerprintOfRequest(g, suspect)
	r.tell(g, []quarantine.Fingerprint{f}, nil)
	refusal, _ := r.serve(g, other)
	must.Nil(t, refusal)
	must.SliceEmpty(t, served())
	refusal, _ = r.serve(g, suspect)
	must.Nil(t, refusal)
	must.Eq(t, []quarantine.Fingerprint{f}, served())
	r.tell(g, nil, nil)
	must.SliceEmpty(t, served())

	r.tell(g, nil, []quarantine.Fingerprint{1})
	r.tell(g, nil, []quarantine.Fingerprint{f})
	refusal, _ = r.serve(g, turnRequest("1", ""))
	must.Eq(t, SuspectRequest, refusal.Kind)
}
