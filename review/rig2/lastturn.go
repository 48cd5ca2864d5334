package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// budgetTurns is the number of turns that a program's budget holds. Each turn generates as many
	// tokens as it may at most.
	budgetTurns    = 6
	tokensPerTurn  = 77
	budgetPrograms = 12
	// settleTime is longer than settleMs, after which a turn that has ended counts what it used.
	settleTime = 1200 * time.Millisecond
)

// lastTurn plays the case that a gateway is killed right after it has answered turns. Their programs go
// on at other gateways. All turns that the budget of a program holds are to be run.
func lastTurn(r *rig) int {
	model := service{name: "huvo11a", workers: 9, slots: 12, firstMs: 45, events: 7, eventBytes: 85}
	services := []service{model}
	r.startFleet(services...)
	r.putConfig(1, services, turnRoute("draft", "/draft/", model.name, 60))
	r.awaitReady()
	if _, ok := r.sendUntilServed(turn{path: "/draft/a", program: "p0", body: "first"}, 20); !ok {
		panic(notRun("no turn was served"))
	}
	var previous [budgetPrograms]string
	round := func(n int, gatewayOf func(program int) int) bool {
		var wait sync.WaitGroup
		var failed atomic.Int64
		for i := range budgetPrograms {
			wait.Add(1)
			go func() {
				defer wait.Done()
				gateway := gatewayOf(i)
				t := r.budgetTurn(i, previous[i], n)
				a := r.send(gateway, t)
				r.note("turn %d of program %d, %s after %q, at edge-%d: %v", n, i, t.id, t.previous, gateway+1, a)
				if !a.served() {
					failed.Add(1)
					return
				}
				previous[i] = t.id
			}()
		}
		wait.Wait()
		return failed.Load() == 0
	}
	for n := 1; n <= 2; n++ {
		if !round(n, func(int) int { return 0 }) {
			panic(notRun("an early turn was not served"))
		}
	}
	if r.trouble {
		r.kill("gateway on edge-1")
	}
	time.Sleep(4 * time.Second) // connectivityWindowMs, and a margin
	for n := 3; n < budgetTurns; n++ {
		if !round(n, func(i int) int { return 1 + (i+n)%(gatewayCount-1) }) {
			panic(notRun("a turn in the middle was not served"))
		}
		time.Sleep(settleTime)
	}
	stuck := 0
	for i := range budgetPrograms {
		if !r.lastTurnReaches(i, previous[i]) {
			stuck++
		}
		if stuck == 3 {
			break // the others would take long
		}
	}
	firstServed, firstTurns := 0, 10
	for i := range firstTurns {
		if r.send(1+i%(gatewayCount-1), turn{id: newID(), path: "/draft/a", program: newID(), body: "first", budget: budgetTurns * tokensPerTurn}).served() {
			firstServed++
		}
	}
	r.note("%d programs had a last turn that reached no worker, although their budget holds it; %d of %d first turns were served", stuck, firstServed, firstTurns)
	if stuck > 0 && firstServed*10 >= firstTurns*9 {
		return exitBroken
	}
	return exitHeld
}

// budgetTurn returns the n-th turn of a program.
func (r *rig) budgetTurn(program int, previous string, n int) turn {
	return turn{
		id: newID(), path: "/draft/a", program: fmt.Sprintf("b%d", program), previous: previous, body: fmt.Sprintf("input %d", n),
		budget: budgetTurns * tokensPerTurn, remember: true,
	}
}

// lastTurnReaches sends the last turn that the budget of a program holds, up to eight times, and reports whether
// it has reached a worker.
func (r *rig) lastTurnReaches(program int, previous string) bool {
	for try := range 8 {
		t := r.budgetTurn(program, previous, budgetTurns)
		gateway := 1 + try%(gatewayCount-1)
		a := r.send(gateway, t)
		_, ok := r.receivedBody(t.id)
		r.note("turn %d of program %d, %s after %s, at edge-%d: %v; it has reached a worker: %v", budgetTurns, program, t.id, previous, gateway+1, a, ok)
		if ok {
			return true
		}
		if a.status == http.StatusPaymentRequired {
			return false
		}
		time.Sleep(700 * time.Millisecond)
	}
	return false
}
