package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/port"
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

// crashesWithoutTraffic lets one request fail at its target and returns how many crashes the gateway
// reports within wait, while it serves nothing else.
func (r *rig) crashesWithoutTraffic(wait time.Duration) int {
	g := r.startGateway(0)
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) { return nil, errCut }
	_, _ = r.serve(g, &Request{ID: "1", Host: "h", Path: "/order/1", Key: "key"})
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		report, err := g.Report(r.t.Context())
		must.NoError(r.t, err)
		if len(report.Crashes) > 0 {
			return len(report.Crashes)
		}
	}
	return 0
}

// Guards against a crash that is not counted because no later request of the same gateway finds the
// target unreachable (BUDGET, in a quiet hour), also where all targets have crashed.
func TestCrashIsConfirmedWithoutTraffic(t *testing.T) {
	for name, refusing := range map[string]map[string]bool{
		"one target":  {"1": true, "2": true},
		"all targets": {"1": true, "2": true, "3": true, "4": true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.list = append(slices.Clone(testTargets), nearTargets...)
			r.targets.refusing = refusing
			r.list = r.list[:len(refusing)]
			must.Eq(t, 1, r.crashesWithoutTraffic(5*time.Second))
		})
	}
}

// nearTargets are in the data centres of testTargets.
var nearTargets = []balance.Target{
	{ID: "t3", Address: "3", Service: "other", Slots: 4, DataCentre: "a", Region: "north", Version: "v1"},
	{ID: "t4", Address: "4", Service: "other", Slots: 4, DataCentre: "b", Region: "north", Version: "v1"},
}

// Guards against a crash that is counted although all targets of the data centre are silent for the
// gateway: the links between the data centres have failed, and the request is sound.
func TestSilentDataCentreIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		silent  map[string]bool
		crashes int
	}{
		"target":      {map[string]bool{"1": true, "2": true}, 1},
		"data centre": {map[string]bool{"1": true, "2": true, "3": true, "4": true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.list = append(slices.Clone(testTargets), nearTargets...)
			r.list = append(r.list, balance.Target{ID: "t5", Address: "5", Service: "far", Slots: 4, DataCentre: "c", Region: "south"})
			r.targets.unreachable = c.silent
			must.Eq(t, c.crashes, r.crashesWithoutTraffic(4*time.Second))
		})
	}
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
