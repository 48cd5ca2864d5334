package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// racks is the number of racks, each with a third of the workers. They fail one after the other, rackFailures
	// times in all.
	racks        = 3
	rackFailures = 4
	// crashTime is the time after which the workers of a rack are back.
	crashTime = 3 * time.Second
	// roundTime is the time between two turns of a program.
	roundTime = 4 * time.Second
	// goOnPrograms is the number of programs whose later turns have the same input.
	goOnPrograms = 9
	goOn         = "Go on."
)

// sameInput plays the case that the racks of the workers fail, one after the other and each for its own
// reason, while agents of a tenant run turns with the same input. When the workers are back, each of
// these turns is to be run.
func sameInput(r *rig) int {
	model := service{name: "huvo11a", workers: 9, slots: 12, firstMs: 45, events: 7, eventBytes: 85, gapMs: 140}
	services := []service{model}
	r.startFleet(services...)
	r.putConfig(1, services, turnRoute("draft", "/draft/", model.name, 60))
	r.awaitReady()
	if _, ok := r.sendUntilServed(turn{path: "/draft/a", program: "p0", body: "first"}, 20); !ok {
		panic(notRun("no turn was served"))
	}
	l := r.startLoad("/draft/a", loadLines, 20, func(bool) string { return "Report " + newID() })
	defer l.end()
	var previous [goOnPrograms]string
	round := func(body func(program int) string) {
		var wait sync.WaitGroup
		for i := range goOnPrograms {
			wait.Add(1)
			go func() {
				defer wait.Done()
				t := turn{id: newID(), path: "/draft/a", program: fmt.Sprintf("g%d", i), previous: previous[i], body: body(i)}
				gateway := i % gatewayCount
				a := r.send(gateway, t)
				r.note("turn %s of program %d after %q, at edge-%d: %v", t.id, i, t.previous, gateway+1, a)
				if a.served() {
					previous[i] = t.id
				}
			}()
		}
		wait.Wait()
	}
	sameBody := func(int) string { return goOn }
	round(func(i int) string { return fmt.Sprintf("Begin %d", i) })
	for n := range 2 * rackFailures {
		began := time.Now()
		if r.trouble && n%2 == 1 {
			time.AfterFunc(500*time.Millisecond, func() {
				for j, w := range r.workers {
					if j%racks == n/2%racks {
						w.crash(crashTime)
					}
				}
			})
		}
		round(sameBody)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	time.Sleep(4 * time.Second) // connectivityWindowMs, after the last rack is back, and a margin
	first, ok := r.sendUntilServed(turn{path: "/draft/a", program: "p1", body: "Report 1"}, 10)
	if !ok {
		panic(notRun("a first turn was not served"))
	}
	tries, denied, firstTurns, firstServed := 0, 0, 0, 0
	for began := time.Now(); time.Since(began) < 12*time.Second; {
		t := turn{id: newID(), path: "/draft/a", program: "p1", previous: first, body: goOn, remember: true}
		gateway := tries % gatewayCount
		a := r.send(gateway, t)
		_, reached := r.receivedBody(t.id)
		r.note("turn %s continues %s, %.1f s after its answer, at edge-%d: %v; it has reached a worker: %v", t.id, first, time.Since(began).Seconds(), gateway+1, a, reached)
		tries++
		if reached {
			return exitHeld
		}
		if a.status == http.StatusNotFound || a.status == http.StatusGone {
			denied++
		}
		firstTurns++
		if r.send(gateway, turn{id: newID(), path: "/draft/a", program: newID(), body: "Report " + newID()}).served() {
			firstServed++
		}
		time.Sleep(400 * time.Millisecond)
	}
	r.note("the turn reached no worker in %d tries, %d of them answered 404 or 410; %d of %d first turns meanwhile were served", tries, denied, firstServed, firstTurns)
	if denied > 0 || (tries >= 5 && firstServed*10 >= firstTurns*9) {
		return exitBroken
	}
	return exitNotRun
}
