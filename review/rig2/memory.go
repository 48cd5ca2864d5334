package main

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadLines is the number of programs that run at a time. Each is a chain of three turns.
	loadLines = 48
	// loadPerSecond is the number of turns a second of the load: 21 programs of about three turns,
	// with their sub-agents, in a burst.
	loadPerSecond = 130
	// laterPerSecond is that after the disruption.
	laterPerSecond = 20
	// inputBytes is the input of a turn. The site file has 4,300 on average and 26,000 at most.
	inputBytes = 13_000
	// diskTarget is the size of the second largest data folder of a storage machine, in MB, at which
	// the machines are killed. It is about a quarter of the disk.
	diskTarget = 100
	// loadLimit bounds the time of the load.
	loadLimit = 75 * time.Second
)

// loadGateways are the gateways of the region kochi, whose clients send the load. Two storage machines
// are near to them.
var loadGateways = []int{0, 2, 3, 5}

// load is what the clients of the steady traffic saw.
type load struct {
	sent, served atomic.Int64
	stop         atomic.Bool
	wait         sync.WaitGroup
}

// startLoad runs programs of three turns, one after the other in each of a number of lines.
// input returns the input of the first turn of a program, or of another one.
func (r *rig) startLoad(path string, lines, perSecond int, input func(first bool) string) *load {
	l := &load{}
	pace := make(chan struct{}, 1)
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		defer close(pace)
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for !l.stop.Load() {
			<-tick.C
			select {
			case pace <- struct{}{}:
			default:
			}
		}
	}()
	for line := range lines {
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			for n := line; ; n++ {
				program, previous := newID(), ""
				for range 3 {
					if _, ok := <-pace; !ok {
						return
					}
					t := turn{id: newID(), path: path, program: program, previous: previous, budget: 1000, body: input(previous == "")}
					l.sent.Add(1)
					a := r.send(loadGateways[n%len(loadGateways)], t)
					r.note("load: %s after %q, at edge-%d: %v", t.id, previous, loadGateways[n%len(loadGateways)]+1, a)
					if !a.served() {
						break
					}
					l.served.Add(1)
					previous = t.id
				}
			}
		}()
	}
	return l
}

func (l *load) end() {
	l.stop.Store(true)
	l.wait.Wait()
}

// kept is a turn that was answered whole.
type kept struct {
	id         string
	answeredAt time.Time
}

// restartMemory plays the case that the processes of the storage machines are killed after some
// minutes' worth of turns, and come back. The turns of one route are kept for a few seconds only,
// so that little is stored at a time; those of another one for 60 s.
func restartMemory(r *rig) int {
	model := service{name: "huvo11a", workers: 9, slots: 12, firstMs: 40, events: 7, eventBytes: 85}
	services := []service{model}
	r.startFleet(services...)
	r.putConfig(1, services, turnRoute("draft", "/draft/", model.name, 8), turnRoute("review", "/review/", model.name, 60))
	r.awaitReady()
	if _, ok := r.sendUntilServed(turn{path: "/draft/a", program: "p0", body: "first"}, 20); !ok {
		panic(notRun("no turn was served"))
	}
	began := time.Now()
	text := strings.Repeat("i", inputBytes)
	input := func(bool) string { return text }
	l := r.startLoad("/draft/a", loadLines, loadPerSecond, input)
	defer l.end()
	for r.secondDiskMB() < diskTarget && time.Since(began) < loadLimit {
		time.Sleep(time.Second)
		r.note("load: %d turns sent, %d served; disks of the storage machines: %v MB; memory of the storage processes: %v MB", l.sent.Load(), l.served.Load(), r.diskMB(), r.storageMemory())
	}
	if r.secondDiskMB() < diskTarget {
		panic(notRun("this machine is too slow to write enough turns"))
	}
	var turns []kept
	for range 5 {
		id, ok := r.sendUntilServed(turn{path: "/review/a", program: newID(), body: "to be kept"}, 10)
		if !ok {
			panic(notRun("a turn that is to be kept was not served"))
		}
		turns = append(turns, kept{id, time.Now()})
	}
	l.end()
	l = r.startLoad("/draft/a", loadLines, laterPerSecond, input)
	defer l.end()
	if r.trouble {
		var names []string
		for name, p := range r.processes {
			if p.memoryMB == storageMemoryMB {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		r.kill(names...)
	}
	back := time.Now().Add(time.Second)
	time.Sleep(time.Until(back.Add(recoverTime)))
	sent, served := l.sent.Load(), l.served.Load()
	r.note("%v after the machines are back", recoverTime)
	reached := 0
	for _, k := range turns {
		for try := range 5 {
			t := turn{id: newID(), path: "/review/a", program: newID(), previous: k.id, body: "next", remember: true}
			a := r.send(try%gatewayCount, t)
			_, ok := r.receivedBody(t.id)
			r.note("turn %s continues %s, %.1f s after its answer: %v; it has reached a worker: %v", t.id, k.id, time.Since(k.answeredAt).Seconds(), a, ok)
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				return exitBroken
			}
			if ok {
				reached++
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	sent, served = l.sent.Load()-sent, l.served.Load()-served
	ends := 0
	for _, p := range r.processes {
		if p.memoryKills >= 3 {
			ends++
		}
	}
	r.note("%d of %d kept turns reached a worker; of %d requests sent later, %d were served; %d processes ended three times because of their memory", reached, len(turns), sent, served, ends)
	if reached < len(turns) || served*4 < sent {
		return exitBroken
	}
	return exitHeld
}

// diskMB returns the sizes of the data folders of the storage machines in MB.
func (r *rig) diskMB() []int {
	var out []int
	for i := range storageCount {
		out = append(out, int(r.diskBytes(i)>>20))
	}
	return out
}

// secondDiskMB returns the size of the second largest data folder.
func (r *rig) secondDiskMB() int {
	sizes := r.diskMB()
	slices.Sort(sizes)
	return sizes[storageCount-2]
}

// storageMemory returns the memory of the storage processes in MB.
func (r *rig) storageMemory() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []int
	for _, name := range []string{"storage on storage-1", "storage on storage-2", "storage on storage-3"} {
		out = append(out, anonymousKB(r.processes[name].cmd.Process.Pid)/1024)
	}
	return out
}
