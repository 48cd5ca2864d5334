package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// keptTurns is the number of turns whose answers come whole before the disruption.
	keptTurns = 30
	// freezeTime is how long a storage machine stands still. wipeAfter is the time after which
	// another one loses its disk meanwhile, and wipeDown how long that one is down.
	freezeTime = 7900 * time.Millisecond
	wipeAfter  = 3800 * time.Millisecond
	wipeDown   = time.Second
)

// kollamGateways are the gateways of the zone of storage-2.
var kollamGateways = []int{1, 4}

// lostSeat plays the case that a storage machine freezes and wakes again, and another one loses its
// disk meanwhile. One disk is lost, as many as are tolerated, so every turn that was answered
// whole has to be there afterwards.
func lostSeat(r *rig) int {
	model := service{name: "huvo11a", workers: 9, slots: 12, firstMs: 45, events: 7, eventBytes: 85}
	services := []service{model}
	r.startFleet(services...)
	r.putConfig(1, services, turnRoute("draft", "/draft/", model.name, 60))
	r.awaitReady()
	r.startSpare(storageCount, zones[1])
	time.Sleep(13 * time.Second) // catchUpS, and until the new machine counts as a spare one
	turns := r.keepTurns(keptTurns, kollamGateways)
	if r.trouble {
		r.signal(syscall.SIGSTOP, storageProcesses(0)...)
		time.Sleep(wipeAfter)
		r.loseDisk(1, wipeDown)
		time.Sleep(freezeTime - wipeAfter - wipeDown)
		r.signal(syscall.SIGCONT, storageProcesses(0)...)
	}
	time.Sleep(recoverTime)
	r.note("%v after the machines are back", recoverTime)
	denied, reached := r.continueTurns(turns)
	r.note("%d of %d kept turns reached a worker; %d were answered 404 or 410", reached, len(turns), denied)
	if denied > 0 || reached < len(turns) {
		return exitBroken
	}
	return exitHeld
}

// keepTurns has turns served at some gateways and returns them.
func (r *rig) keepTurns(n int, gateways []int) []kept {
	var turns []kept
	for i := range n {
		t := turn{path: "/draft/a", program: newID(), body: "Report " + newID(), budget: 1000}
		for try := 0; ; try++ {
			t.id = newID()
			gateway := gateways[(i+try)%len(gateways)]
			a := r.send(gateway, t)
			r.note("turn %s at edge-%d: %v", t.id, gateway+1, a)
			if a.served() {
				turns = append(turns, kept{t.id, time.Now()})
				break
			}
			if try == 20 {
				panic(notRun("a first turn was not served"))
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return turns
}

// continueTurns sends a turn after each of the kept ones, up to five times. It returns how many of
// them were denied, and how many reached a worker.
func (r *rig) continueTurns(turns []kept) (denied, reached int) {
	for n, k := range turns {
		for try := range 5 {
			t := turn{id: newID(), path: "/draft/a", program: newID(), previous: k.id, body: "Go on.", budget: 1000, remember: true}
			gateway := (n + try) % gatewayCount
			a := r.send(gateway, t)
			_, ok := r.receivedBody(t.id)
			r.note("turn %s continues %s, %.1f s after its answer, at edge-%d: %v; it has reached a worker: %v", t.id, k.id, time.Since(k.answeredAt).Seconds(), gateway+1, a, ok)
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				denied++
				break
			}
			if ok {
				reached++
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return denied, reached
}
