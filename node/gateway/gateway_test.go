package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/targetlimit"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/port"
)

// Guards against a refusal that is written after the head of a target's answer,
// when the caller's connection fails in the middle of the answer.
func TestNoRefusalAfterAnswerHead(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) { return &scriptedAnswer{status: 200}, nil }
	reply := &recordedReply{wholeErr: io.ErrClosedPipe}
	must.Nil(t, g.Serve(t.Context(), &Request{ID: "1", Host: "h", Path: "/order/1", Key: "key"}, reply))
	must.True(t, reply.aborted)
}

// Guards against a chain that is refused or truncated because its turns are on
// different majorities: each gateway writes to the storage VMs near it.
func TestChainOverDifferentMajorities(t *testing.T) {
	r := newRig(t)
	r.targets.answer = streamOf("e1", "e2")
	// Turn 1 is on a and b, turn 2 on b and c, turn 3 on c and a: no storage VM
	// has the whole chain.
	refusal, _ := r.serve(r.startGateway(0), turnRequest("1", ""))
	must.Nil(t, refusal)
	r.network.setCut("gateway-1 "+storeAddress(0), true)
	refusal, _ = r.serve(r.startGateway(1), turnRequest("2", "1"))
	must.Nil(t, refusal)
	r.network.setCut("gateway-1 "+storeAddress(0), false)
	refusal, _ = r.serve(r.startGateway(2), turnRequest("3", "2"))
	must.Nil(t, refusal)
	fresh := r.startGateway(1)
	refusal, reply := r.serve(fresh, turnRequest("4", "3"))
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	bodies := r.targets.bodies()
	must.Eq(t, "[1]e1\ne2\n[2]e1\ne2\n[3]e1\ne2\n[4]", bodies[len(bodies)-1])
}

// Guards against access to the history of another client account, and against a
// wrong "no such turn" for a turn that exists.
func TestTurnsAreIsolatedByAccount(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	refusal, _ := r.serve(g, turnRequest("1", ""))
	must.Nil(t, refusal)
	otherAccount := turnRequest("2", "1")
	otherAccount.Key = "else"
	refusal, _ = r.serve(g, otherAccount)
	must.Eq(t, NoSuchTurn, refusal.Kind)
	refusal, _ = r.serve(g, turnRequest("3", "missing"))
	must.Eq(t, NoSuchTurn, refusal.Kind)
	// Without a majority the absence of a turn cannot be established.
	r.network.setCut(storeAddress(1), true)
	r.network.setCut(storeAddress(2), true)
	refusal, _ = r.serve(g, turnRequest("4", "missing"))
	must.Eq(t, StorageUnavailable, refusal.Kind)
	must.True(t, refusal.NotRun)
}

// maxReservedRetries exceeds the number of turns that fit in the test's budget, each
// of which may block others by one advance reservation.
const maxReservedRetries = 10

// Guards against a program that exceeds its budget through several gateways at
// once, and against reservations that are not released after a refusal.
func TestBudgetOverGateways(t *testing.T) {
	r := newRig(t)
	r.targets.answer = streamOf("a", "b") // 20 tokens, the limit of a turn
	gateways := []*Gateway{r.startGateway(0), r.startGateway(1), r.startGateway(2)}
	var wait sync.WaitGroup
	var mu sync.Mutex
	tokens := 0
	for i := range 30 {
		wait.Go(func() {
			refusal, reply := r.serve(gateways[i%3], turnRequest(fmt.Sprint(i), ""))
			// A turn that ends before the others reserve may reserve the next one in
			// advance. A turn that only this reservation blocks is retried under a new id,
			// as callers do.
			for attempt := 1; attempt <= maxReservedRetries && refusal != nil && refusal.Kind == BudgetReserved; attempt++ {
				must.True(t, refusal.NotRun)
				time.Sleep(refusal.RetryAfter)
				refusal, reply = r.serve(gateways[i%3], turnRequest(fmt.Sprintf("%d.%d", i, attempt), ""))
			}
			mu.Lock()
			defer mu.Unlock()
			tokens += 10 * len(reply.events)
			if refusal != nil {
				must.Eq(t, BudgetSpent, refusal.Kind)
				must.True(t, refusal.NotRun)
			}
		})
	}
	wait.Wait()
	// The documented bound is the budget plus the limit of one turn.
	must.LessEq(t, 100+20, tokens)
	// After the refused turns are settled, the rest of the budget is available.
	must.True(t, eventually(func() bool {
		refusal, reply := r.serve(gateways[0], turnRequest("last"+fmt.Sprint(time.Now().UnixNano()), ""))
		mu.Lock()
		defer mu.Unlock()
		tokens += 10 * len(reply.events)
		return refusal != nil && tokens >= 100-20
	}))
	must.LessEq(t, 100+20, tokens)
}

// eventually polls a condition for up to five seconds; it asserts nothing about
// speed.
func eventually(condition func() bool) bool {
	for range 100 {
		if condition() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// Guards against a stream that ends normally although its turn is on no
// majority: the next turn could not continue it.
func TestStreamEndsOnlyWhenStored(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) {
		r.network.setCut(storeAddress(1), true)
		r.network.setCut(storeAddress(2), true)
		return &scriptedAnswer{status: 200, events: []string{"x"}}, nil
	}
	refusal, reply := r.serve(g, turnRequest("1", ""))
	must.Nil(t, refusal)
	must.True(t, reply.aborted)
	must.False(t, reply.ended)
}

// Guards against a run-once request that is sent again after a target may have
// run it, and against a refusal that wrongly reports it as not run.
func TestRunOnceIsSentOnce(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) { return nil, io.ErrUnexpectedEOF }
	refusal, _ := r.serve(g, &Request{ID: "1", Host: "h", Path: "/order/1", Key: "key"})
	must.Eq(t, OutcomeUnknown, refusal.Kind)
	must.False(t, refusal.NotRun)
	must.Len(t, 1, r.targets.bodies())
}

// Guards against a request that fails although a target reported that it did
// not run it, and against a request that is sent to more targets than the route
// permits.
func TestRetries(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(n int, _ port.TargetRequest) (port.Answer, error) {
		if n == 1 {
			return nil, port.ErrNotRun
		}
		return &scriptedAnswer{status: 200}, nil
	}
	refusal, reply := r.serve(g, &Request{ID: "1", Host: "h", Path: "/order/1", Key: "key"})
	must.Nil(t, refusal)
	must.Eq(t, 200, reply.status)
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) { return nil, io.ErrUnexpectedEOF }
	before := len(r.targets.bodies())
	refusal, _ = r.serve(g, &Request{ID: "2", Host: "h", Path: "/look/1", Key: "key"})
	must.Eq(t, OutcomeUnknown, refusal.Kind)
	must.Eq(t, 2, len(r.targets.bodies())-before)
}

// Guards against the loss of turns and budgets when a storage VM is replaced by
// an empty one and another one fails right after.
func TestReplacedStoreHoldsEverything(t *testing.T) {
	r := newRig(t)
	r.targets.answer = streamOf("e")
	g := r.startGateway(0)
	previous := ""
	for i := range 5 {
		id := fmt.Sprint(i)
		refusal, _ := r.serve(g, turnRequest(id, previous))
		must.Nil(t, refusal)
		previous = id
	}
	// The storage VM of data centre a fails and is replaced by an empty one.
	r.network.setCut(storeAddress(0), true)
	joined := r.startStore(7, "a", "north")
	r.set = r.set.Replace(r.set.Members[0].ID, joined)
	replacement := r.network.stores[storeAddress(7)]
	replacement.Apply(&coordinator.View{Stores: r.set})
	must.True(t, eventually(func() bool {
		report, err := replacement.Report(t.Context())
		return err == nil && report.Store.Complete
	}))
	r.network.setCut(storeAddress(1), true)
	fresh := r.startGateway(1)
	refusal, _ := r.serve(fresh, turnRequest("next", previous))
	must.Nil(t, refusal)
	bodies := r.targets.bodies()
	must.Eq(t, 6, strings.Count(bodies[len(bodies)-1], "["))
	// 6 turns have used 60 tokens. A turn reserves 20 and uses 10, so three more
	// fit into the budget of 100 and the fourth does not.
	must.Eq(t, 1, countRefused(r, fresh, 4))
}

// Guards against turns that cannot be continued after two losses one after the other, because the
// successor of the first lost store copies over a slow link and the second one then finds no two
// complete members to copy from, and because all storage VMs restart in between (LOST and RECOVER,
// review/11).
func TestStoreIsReplacedDuringSlowCopy(t *testing.T) {
	for name, restart := range map[string]bool{"running": false, "restarted": true} {
		t.Run(name, func(t *testing.T) { storeIsReplacedDuringSlowCopy(t, restart) })
	}
}

func storeIsReplacedDuringSlowCopy(t *testing.T, restart bool) {
	r := newRig(t)
	refusal, _ := r.serve(r.startGateway(2), turnRequest("1", "")) // on stores 2 and 0
	must.Nil(t, refusal)
	report := func(store int) *coordinator.StoreStatus {
		out, err := r.network.stores[storeAddress(store)].Report(t.Context())
		must.NoError(t, err)
		return out.Store
	}
	replace := func(lost, successor int, dataCentre domain.DataCentre, region domain.Region) {
		r.network.setCut(storeAddress(lost), true)
		r.set = r.set.Replace(quorum.StoreID(storeAddress(lost)+"/disk"), r.startStore(successor, dataCentre, region))
		for _, m := range r.set.Members {
			r.network.stores[m.ID.Address()].Apply(&coordinator.View{Stores: r.set})
		}
	}
	for _, i := range []int{0, 1, 8} { // the copy of store 7 does not end
		r.network.setCut(storeAddress(7)+" "+storeAddress(i), true)
	}
	replace(2, 7, "c", "south")
	for _, store := range []int{0, 1} {
		must.True(t, eventually(func() bool { return report(store).Whole == 2 }), must.Sprintf("store %d holds all records", store))
	}
	if restart {
		r.network.setCut(storeAddress(0), true)
		for i, p := range map[int]string{1: "b", 7: "c"} {
			r.network.stores[storeAddress(i)].Stop()
			r.startStore(i, domain.DataCentre(p), map[string]domain.Region{"b": "north", "c": "south"}[p])
		}
		must.Eq(t, 2, report(1).Whole)
	}
	replace(0, 8, "a", "north")
	must.True(t, eventually(func() bool { return report(8).Complete }))
	must.False(t, report(7).Complete)
	refusal, _ = r.serve(r.startGateway(0), turnRequest("2", "1"))
	must.Nil(t, refusal)
	must.Eq(t, "[1]x\n[2]", r.targets.bodies()[1])
}

func countRefused(r *rig, g *Gateway, turns int) int {
	refused := 0
	for i := range turns {
		if refusal, _ := r.serve(g, turnRequest(fmt.Sprintf("more%d", i), "")); refusal != nil {
			refused++
		}
	}
	return refused
}

// Guards against writes under an older storage set that a member accepts after a
// joining member has copied its records: these writes would be on no majority of
// the new set.
func TestOldSetIsFenced(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	joined := r.startStore(7, "a", "north")
	next := r.set.Replace(r.set.Members[0].ID, joined)
	for _, n := range r.network.stores {
		n.Apply(&coordinator.View{Stores: next})
	}
	refusal, _ := r.serve(g, turnRequest("1", ""))
	must.Nil(t, refusal)
	must.Eq(t, next.Epoch, g.view.Load().stores.Epoch)
	must.Eq(t, quorum.StoreID(storeAddress(7)+"/disk"), g.view.Load().stores.Members[2].ID)
}

// Guards against a 404 for a stored turn while the storage set changes: a gateway with the
// former set asks two of its members, one of which has left and one of which does not know the
// new set, and takes them for a majority.
func TestTurnIsFoundWithFormerSet(t *testing.T) {
	r := newRig(t)
	former := r.startGateway(1)
	// A VM in data centre a replaces the one in data centre c. Its copy does not end.
	joined := r.startStore(7, "a", "north")
	r.network.setCut(storeAddress(7)+" "+storeAddress(1), true)
	r.set = r.set.Replace(r.set.Members[2].ID, joined)
	r.network.stores[storeAddress(7)].Apply(&coordinator.View{Stores: r.set})
	first := turnRequest("1", "")
	first.Budget = 0 // a reservation of tokens would bring the new set to the other members
	refusal, _ := r.serve(r.startGateway(0), first)
	must.Nil(t, refusal)

	former.suspect(r.set.Members[0].ID, errSlow) // asked last
	must.NoError(t, former.Do(t.Context(), func(time.Time) {}))
	refusal, _ = r.serve(former, turnRequest("2", "1"))
	must.Nil(t, refusal)
	must.Eq(t, "[1]x\n[2]", r.targets.bodies()[1])
}

// Guards against a chain that one lost disk ends: a storage VM that missed a turn stores the
// later ones without it, and the only other copy of it expires where no later turn arrives.
func TestLaterTurnBringsMissedOnes(t *testing.T) {
	r := newRig(t)
	r.network.setCut(storeAddress(1), true)
	previous, text := "", ""
	for _, id := range []string{"1", "2"} {
		refusal, _ := r.serve(r.startGateway(0), turnRequest(id, previous))
		must.Nil(t, refusal)
		previous, text = id, text+"["+id+"]x\n"
	}
	r.network.setCut(storeAddress(1), false)
	refusal, reply := r.serve(r.startGateway(1), turnRequest("3", "2"))
	must.Nil(t, refusal)
	must.True(t, reply.ended)

	for _, store := range []int{0, 1} {
		answer, err := r.network.stores[storeAddress(store)].Handle(t.Context(), &turnstore.ReadChain{Epoch: 1, Key: turnstore.TurnKey{Account: "acme", ID: "3"}})
		must.NoError(t, err)
		chain := answer.(*turnstore.ChainReply)
		must.Len(t, 3, chain.Turns, must.Sprintf("store %d", store))
		must.Eq(t, "", chain.Missing)
		must.Eq(t, text, string(joinBody(chain.Turns[1:], nil, 0)))
	}
}

// Guards against a budget that can be exceeded after one lost disk: a storage VM that missed the
// share of a gateway never gets it, and the only other copy expires where no later share of the
// program arrives.
func TestMissedShareIsRepaired(t *testing.T) {
	r := newRig(t)
	r.network.setCut(storeAddress(1), true)
	refusal, _ := r.serve(r.startGateway(0), turnRequest("1", ""))
	must.Nil(t, refusal)
	r.network.setCut(storeAddress(1), false)
	refusal, _ = r.serve(r.startGateway(1), turnRequest("2", ""))
	must.Nil(t, refusal)
	must.True(t, eventually(func() bool {
		answer, err := r.network.stores[storeAddress(1)].Handle(t.Context(), &turnstore.Write{Epoch: 1, SharesOf: tokens.Program{Account: "acme", Name: "p"}})
		must.NoError(t, err)
		return len(answer.(*turnstore.WriteReply).Shares) == 2
	}))
}

// Guards against a wrong 401 or 404 from a gateway without a configuration.
func TestServesNothingWithoutManifest(t *testing.T) {
	r := newRig(t)
	g := New(Options{
		Process: "new", Calls: r.network.from("new"), Targets: r.targets, Clock: systemclock.Boot{},
		Rand: rand.New(rand.NewPCG(1, 1)), Metrics: noMetrics{}, Log: logr.Discard(),
	})
	must.False(t, g.Ready())
	refusal, _ := r.serve(g, turnRequest("1", ""))
	must.Eq(t, NoManifest, refusal.Kind)
	must.True(t, refusal.NotRun)
}

// Guards against a deployment that becomes open to everyone when its last client account is removed
// (ROUTE, review/12), and against an empty key that lets requests without one in.
func TestRemovedAccountsLeaveNoAccess(t *testing.T) {
	for name, accounts := range map[string][]manifest.Account{
		"none": nil, "without keys": {{Name: "acme"}}, "empty key": {{Name: "acme", Keys: []string{""}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			before, after := *testManifest, *testManifest
			after.Version, after.Accounts = 2, accounts
			after.Routes = append([]manifest.Route{{
				Name: "open", Host: "h", Prefix: "/open/", Kind: manifest.Idempotent, Timeout: time.Second, Objective: 150 * time.Millisecond,
				Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 1, Open: true,
			}}, before.Routes...)
			g := r.startGatewayWith(0, r.list, &before, &after)
			refusal, _ := r.serve(g, &Request{ID: "before", Host: "h", Path: "/look/1", Key: "key"})
			must.Nil(t, refusal)
			g.Apply(&coordinator.View{Document: &manifest.Document{Version: 2, Raw: []byte("1")}})
			must.NoError(t, g.Do(t.Context(), func(time.Time) {}))
			for _, key := range []string{"key", "never", ""} {
				for _, path := range []string{"/look/1", "/order/1", "/chat/1"} {
					refusal, _ := r.serve(g, &Request{ID: "after" + path + key, Host: "h", Path: path, Key: key})
					must.NotNil(t, refusal, must.Sprint(path, key))
					must.Eq(t, KeyUnknown, refusal.Kind)
				}
				refusal, _ := r.serve(g, &Request{ID: "open" + key, Host: "h", Path: "/open/1", Key: key})
				must.Nil(t, refusal)
			}
		})
	}
}

// Guards against a request that continues to crash targets after the
// coordinators have quarantined it.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	request := &Request{ID: "1", Host: "h", Path: "/look/1", Key: "key", Method: "GET", Body: []byte("x")}
	probe := &exchange{Request: request, account: "acme"}
	g.Apply(&coordinator.View{Authoritative: true, Quarantined: []quarantine.Fingerprint{probe.fingerprintOf()}})
	must.NoError(t, g.Do(t.Context(), func(time.Time) {}))
	refusal, _ := r.serve(g, request)
	must.Eq(t, SuspectRequest, refusal.Kind)
	must.SliceEmpty(t, r.targets.bodies())
	other := *request
	other.Body = []byte("y")
	refusal, _ = r.serve(g, &other)
	must.Nil(t, refusal)
}

// Guards against targets that still run, or receive, a request after its caller
// has disconnected.
func TestCallerCancellationStopsTarget(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	ctx, leave := context.WithCancel(t.Context())
	r.targets.exchange = func(ctx context.Context, _ port.TargetRequest) (port.Answer, error) {
		leave()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refusal := g.Serve(ctx, &Request{ID: "1", Host: "h", Path: "/look/1", Key: "key"}, &recordedReply{})
	must.NotNil(t, refusal)
	must.Len(t, 1, r.targets.bodies())
}

// Guards against a resumable stream that is aborted although its target still
// runs, against duplicate events, and against a request that is sent to more
// targets than the route permits.
func TestBrokenStreamIsResumed(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(n int, request port.TargetRequest) (port.Answer, error) {
		if n == 1 {
			return &scriptedAnswer{status: 200, events: []string{"a", "b"}, err: io.ErrUnexpectedEOF}, nil
		}
		must.Eq(t, "2", request.Resume)
		return &scriptedAnswer{status: 200, events: []string{"a", "b", "c"}, next: 2}, nil
	}
	refusal, reply := r.serve(g, &Request{ID: "1", Host: "h", Path: "/resume/1", Key: "key"})
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	must.Eq(t, []string{"a", "b", "c"}, reply.events)
	must.Eq(t, r.targets.requests[0].Target.ID, r.targets.requests[1].Target.ID)
	// A target whose process has ended no longer counts, so another one resumes.
	r.targets.requests = nil
	r.targets.answer = func(n int, request port.TargetRequest) (port.Answer, error) {
		switch n {
		case 1:
			return &scriptedAnswer{status: 200, events: []string{"a"}, err: io.ErrUnexpectedEOF}, nil
		case 2:
			return nil, &port.UnreachableError{Address: "x", Err: io.EOF}
		default:
			return &scriptedAnswer{status: 200, events: []string{"a", "b"}, next: 1}, nil
		}
	}
	refusal, reply = r.serve(g, &Request{ID: "2", Host: "h", Path: "/resume/1", Key: "key"})
	must.Nil(t, refusal)
	must.Eq(t, []string{"a", "b"}, reply.events)
	must.NotEq(t, r.targets.requests[0].Target.ID, r.targets.requests[2].Target.ID)
}

// Guards against turns that are not stored because their program has no budget.
func TestTurnsWithoutBudgetAreStored(t *testing.T) {
	r := newRig(t)
	for i, id := range []string{"1", "2"} {
		request := turnRequest(id, strings.TrimPrefix(fmt.Sprint(i), "0"))
		request.Program, request.Budget = "", 0
		refusal, _ := r.serve(r.startGateway(i), request)
		must.Nil(t, refusal)
	}
	must.Eq(t, "[1]x\n[2]", r.targets.bodies()[1])
}

// Guards against requests to targets above the limit that they name, also in answers that
// reject a request, and against a refusal for that reason that is not "not run".
func TestTargetLimitIsKept(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	limit := 1.0
	r.targets.answer = func(n int, _ port.TargetRequest) (port.Answer, error) {
		if n == 1 {
			head := port.AnswerHead{Status: 503, RateLimit: &limit}
			return nil, &port.RejectedError{Head: head, Err: port.ErrNotRun}
		}
		return &scriptedAnswer{status: 200, limit: &limit}, nil
	}
	look := func(id string) *Refusal {
		refusal, _ := r.serve(g, &Request{ID: id, Host: "h", Path: "/look/1", Key: "key"})
		return refusal
	}
	must.Nil(t, look("1"))
	refusal := look("2")
	must.NotNil(t, refusal)
	must.Eq(t, AtLimit, refusal.Kind)
	must.True(t, refusal.NotRun)
	must.Len(t, 2, r.targets.bodies())
	// A permit allows one request.
	g.Apply(&coordinator.View{Authoritative: true, Limits: targetlimit.Grant{Permits: []targetlimit.Permits{{Target: "t2", N: 1}}}})
	must.Nil(t, look("3"))
	must.NotNil(t, look("4"))
	must.Len(t, 3, r.targets.bodies())
	// Answers without a limit end it.
	g.Apply(&coordinator.View{Authoritative: true, Limits: targetlimit.Grant{Permits: []targetlimit.Permits{{Target: "t2", N: 1}}}})
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) { return &scriptedAnswer{status: 200}, nil }
	must.Nil(t, look("5"))
	must.NoError(t, g.Do(context.Background(), func(time.Time) {}))
	must.Nil(t, look("6"))
	must.Nil(t, look("7"))
}

// Guards against a stream that is resumed, finds no target, and is ended like a whole one with
// the refusal as its last bytes.
func TestUnresumedStreamIsAborted(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(n int, _ port.TargetRequest) (port.Answer, error) {
		if n == 1 {
			return &scriptedAnswer{status: 200, events: []string{"a"}, err: io.ErrUnexpectedEOF}, nil
		}
		return nil, &port.UnreachableError{Address: "x", Err: io.EOF}
	}
	refusal, reply := r.serve(g, &Request{ID: "1", Host: "h", Path: "/resume/1", Key: "key"})
	must.Nil(t, refusal)
	must.True(t, reply.aborted)
	must.False(t, reply.ended)
	must.Eq(t, []string{"a"}, reply.events)
}
