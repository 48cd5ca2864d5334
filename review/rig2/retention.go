package main

import (
	"net/http"
	"strings"
	"time"
)

// retention plays the case that a desired state replaces a route by one with a longer retention. A
// turn that is answered under the new route continues one of the old route. It has to be kept,
// with its chain, for the retention of the new route.
func retention(r *rig) int {
	const shortS, longS = 10, 60
	model := service{name: "huvo11a", workers: 9, slots: 12, firstMs: 45, events: 7, eventBytes: 85}
	services := []service{model}
	r.startFleet(services...)
	before := shortS
	if !r.trouble {
		before = longS
	}
	r.putConfig(1, services, turnRoute("draft-1", "/draft/", model.name, float64(before)))
	r.awaitReady()
	input := func(text string) string { return text + strings.Repeat("i", 4300) }
	first, ok := r.sendUntilServed(turn{path: "/draft/a", program: "p1", body: input("first")}, 10)
	if !ok {
		panic(notRun("the first turn was not served"))
	}
	if r.trouble {
		r.putConfig(2, services, turnRoute("draft-2", "/draft/", model.name, longS))
		time.Sleep(3 * time.Second) // configApplyMs, and a margin
	}
	second, ok := r.sendUntilServed(turn{path: "/draft/a", program: "p1", previous: first, body: input("second")}, 10)
	if !ok {
		panic(notRun("the second turn was not served"))
	}
	answered := time.Now()
	r.note("the second turn, %s, was answered whole; it is to be kept with its chain for %d s", second, longS)
	for time.Since(answered) < 36*time.Second {
		// Other programs go on meanwhile.
		if _, ok := r.sendUntilServed(turn{path: "/draft/a", program: newID(), body: input("other")}, 5); !ok {
			panic(notRun("a first turn was not served"))
		}
		time.Sleep(500 * time.Millisecond)
	}
	tries, denied, firstTurns, firstServed := 0, 0, 0, 0
	for time.Since(answered) < 50*time.Second {
		t := turn{id: newID(), path: "/draft/a", program: "p1", previous: second, body: input("third"), remember: true}
		gateway := tries % gatewayCount
		a := r.send(gateway, t)
		r.note("turn %s continues %s, %.1f s after its answer, at edge-%d: %v", t.id, second, time.Since(answered).Seconds(), gateway+1, a)
		tries++
		body, reached := r.receivedBody(t.id)
		if reached {
			whole := strings.HasPrefix(body, input("first")) && strings.Contains(body, input("second")) && strings.HasSuffix(body, input("third"))
			r.note("turn %s has reached a worker, with its whole chain: %v", t.id, whole)
			if !whole {
				return exitBroken
			}
			return exitHeld
		}
		if a.status == http.StatusNotFound || a.status == http.StatusGone {
			denied++
		}
		firstTurns++
		if r.send(gateway, turn{id: newID(), path: "/draft/a", program: newID(), body: input("other")}).served() {
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
