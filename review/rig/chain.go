package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// chainRetention is the retention of the turns, and chainPause the time between two turns.
	chainRetention = 20 * time.Second
	chainPause     = 7 * time.Second
	// chainLoss is the time after the first turn at which a storage machine loses its disk.
	chainLoss = 54 * time.Second
	// outage is the time for which the processes of a storage machine are down.
	outage = 2500 * time.Millisecond
	// judgedTries is the number of tries after which a turn that reaches no worker is lost.
	judgedTries = 5
)

// playChain keeps one program going for longer than twice the retention of its turns. One
// storage machine is down while the first turn is stored; much later another one loses its
// disk. It reports a turn that reaches no worker in five tries.
func playChain(r *run) error {
	f := r.fleet
	f.regions = map[string]string{"jeonju-a": "jeonbuk", "iksan-a": "jeonbuk", "suwon-a": "gyeonggi"}
	first, second := f.addStore("jeonju-a"), f.addStore("iksan-a")
	f.addStore("suwon-a")
	for _, zone := range []string{"jeonju-a", "iksan-a", "suwon-a"} {
		f.addEdge(zone)
		if err := f.platform.addWorker("agents", zone); err != nil {
			return err
		}
	}
	near := edgesOfRegion(f, "jeonbuk")
	if err := f.startAll(desiredState(1, chainRetention)); err != nil {
		return err
	}
	if r.trouble {
		f.kill(second)
	}
	p := &agentProgram{name: "p1", budget: 10000, ends: time.Now().Add(100 * time.Second)}
	begun := time.Now()
	last, err := wholeTurn(f, near[0], p, "")
	if err != nil {
		return err
	}
	if r.trouble {
		time.Sleep(time.Until(begun.Add(outage)))
		if err := f.start(second, false); err != nil {
			return err
		}
	}
	for n := 1; time.Since(begun) < chainLoss; n++ {
		time.Sleep(chainPause)
		if last, err = wholeTurn(f, near[n%len(near)], p, last.id); err != nil {
			return err
		}
	}
	if r.trouble {
		f.kill(first)
		if err := os.RemoveAll(f.dataDir(first)); err != nil {
			return err
		}
		r.printf("platform: %s has lost its disk", first.name)
		time.Sleep(2 * time.Second)
		if err := f.start(first, false); err != nil {
			return err
		}
	}
	time.Sleep(catchUp + connectivityWindow)
	return judgeTurn(r, near, p, last)
}

func edgesOfRegion(f *fleet, region string) []machine {
	var out []machine
	for _, m := range f.edges {
		if f.regions[m.zone] == region {
			out = append(out, m)
		}
	}
	return out
}

// wholeTurn sends a turn until it is answered whole.
func wholeTurn(f *fleet, m machine, p *agentProgram, previous string) (turn, error) {
	for range judgedTries {
		if t := f.sendTurn(m, p, previous); t.whole {
			return t, nil
		}
		time.Sleep(400 * time.Millisecond)
	}
	return turn{}, fmt.Errorf("a turn of %s was not served", p.name)
}

// judgeTurn sends the turn after the last one, and first turns of other programs beside it.
func judgeTurn(r *run, near []machine, p *agentProgram, last turn) error {
	f := r.fleet
	served, firstServed := false, 0
	for try := range judgedTries {
		m := near[try%len(near)]
		t := f.sendTurn(m, p, last.id)
		if _, ran := f.platform.ran(t.id); ran || t.status == http.StatusOK {
			served = true
		}
		other := &agentProgram{name: fmt.Sprintf("other%d", try), budget: 10000, ends: time.Now().Add(10 * time.Second)}
		if f.sendTurn(m, other, "").whole {
			firstServed++
		}
		time.Sleep(400 * time.Millisecond)
	}
	age := time.Since(last.ended)
	r.printf("%d of %d first turns were served; the previous turn ended %s ago", firstServed, judgedTries, age.Round(time.Millisecond))
	switch {
	case age >= chainRetention || firstServed < judgedTries:
		return fmt.Errorf("the last tries do not count: %d first turns were served, the previous turn ended %s ago", firstServed, age)
	case !served:
		return fmt.Errorf("%w: LOST: the turn after %s reached no worker in %d tries", errBroken, last.id, judgedTries)
	default:
		return nil
	}
}
