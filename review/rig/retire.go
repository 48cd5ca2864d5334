package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	retireLines = 30
	// retireEnd is the time at which no further round begins.
	retireEnd = 97 * time.Second
	// retireDuration is the time that the operator gives for emptying a machine.
	retireDuration = 10
	// reportTime is the time after which a new machine is known to the system.
	reportTime     = 1500 * time.Millisecond
	turnsOfProgram = 18
	siteRetention  = 60 * time.Second
)

// playRetire replaces the storage machines of a deployment one after the other, by adding a
// machine and retiring the oldest. The programs begin in the zone of the oldest machine, and
// the turns of their sub-agents come in through another zone. The case reports a turn that is
// answered 404 although the turn before was answered whole.
func playRetire(r *run) error {
	f := r.fleet
	f.regions = map[string]string{"kochi-a": "kochi", "kochi-b": "kochi", "kochi-c": "kochi"}
	zones := []string{"kochi-a", "kochi-b", "kochi-c"}
	for _, zone := range zones {
		f.addStore(zone)
		f.addEdge(zone)
		for range 3 {
			if err := f.platform.addWorker("agents", zone); err != nil {
				return err
			}
		}
	}
	if err := f.startAll(desiredState(1, siteRetention)); err != nil {
		return err
	}
	lines := newTurnLines(f)
	lines.setZones(f.stores[0].zone, f.stores[2].zone)
	lines.start(retireLines)
	defer lines.stop()
	for r.elapsed() < retireEnd && lines.broken() == "" {
		begun := time.Now()
		lines.setZones(f.stores[0].zone, f.stores[2].zone)
		if r.trouble {
			if err := replaceOldest(r); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(begun.Add(catchUp)))
	}
	lines.stop()
	r.printf("%d turns were answered whole", lines.whole)
	if what := lines.broken(); what != "" {
		return fmt.Errorf("%w: %s", errBroken, what)
	}
	if lines.whole < 500 {
		return fmt.Errorf("only %d turns were answered whole", lines.whole)
	}
	return nil
}

// replaceOldest adds a storage machine in the zone of the oldest one, retires that one, and
// removes it once the system reports that it is empty.
func replaceOldest(r *run) error {
	f := r.fleet
	oldest := f.stores[0]
	f.setSeeds()
	added := f.addStore(oldest.zone)
	if err := f.start(added, false); err != nil {
		return err
	}
	time.Sleep(reportTime)
	path := "/retire/" + oldest.name
	status, _, err := f.operatorCall(http.MethodPost, path, fmt.Appendf(nil, `{"durationS":%d}`, retireDuration))
	r.printf("operator: POST %s: %d", path, status)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the retirement was answered with %d: %w", status, err)
	}
	for until := time.Now().Add(2 * retireDuration * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		status, body, err := f.operatorCall(http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		r.printf("operator: GET %s: %d %s", path, status, strings.TrimSpace(string(body)))
		if strings.Contains(string(body), "succeeded") {
			return f.remove(oldest)
		}
	}
	return fmt.Errorf("%s was not emptied", oldest.name)
}

// turnLines are clients whose programs send one turn after the other. Each turn comes in
// through a zone drawn by lot.
type turnLines struct {
	f    *fleet
	quit chan struct{}
	once sync.Once
	all  sync.WaitGroup

	mu    sync.Mutex
	whole int
	what  string
	// programs and subAgents are the machines through which the turns of programs and of
	// their sub-agents come in.
	programs  []machine
	subAgents machine
}

// setZones sets the zones through which the turns of programs and of their sub-agents come in.
func (l *turnLines) setZones(programs, subAgents string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.programs = nil
	for _, m := range l.f.edges {
		switch m.zone {
		case programs:
			l.programs = append(l.programs, m)
		case subAgents:
			l.subAgents = m
		}
	}
}

// entries returns the machines through which turns of programs and of sub-agents come in.
func (l *turnLines) entries() (programs, subAgents machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.programs[rand.IntN(len(l.programs))], l.subAgents
}

func newTurnLines(f *fleet) *turnLines { return &turnLines{f: f, quit: make(chan struct{})} }

func (l *turnLines) start(count int) {
	for i := range count {
		l.all.Go(func() {
			for n := 0; l.runProgram(fmt.Sprintf("p%d.%d", i, n)); n++ {
			}
		})
	}
}

func (l *turnLines) stop() {
	l.once.Do(func() { close(l.quit) })
	l.all.Wait()
}

// broken describes the first broken rule, or is "".
func (l *turnLines) broken() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.what
}

// pause waits between two turns and reports whether the lines go on.
func (l *turnLines) pause() bool {
	select {
	case <-l.quit:
		return false
	case <-time.After(time.Duration(40+rand.IntN(160)) * time.Millisecond):
		return true
	}
}

// subAgents is the number of sub-agents that start at once after a turn.
const subAgents = 5

// startSubAgents starts sub-agents, each of which sends one turn that continues the turn before.
func (l *turnLines) startSubAgents(p *agentProgram, before turn) {
	var started sync.WaitGroup
	_, entry := l.entries()
	for range subAgents {
		started.Go(func() {
			t := l.f.sendTurn(entry, p, before.id)
			l.judge(p, t, before)
		})
	}
	started.Wait()
}

// judge counts a turn that was answered whole, and reports one that was lost. It returns false
// for a lost one.
func (l *turnLines) judge(p *agentProgram, t, before turn) bool {
	switch {
	case t.whole:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.whole++
	case t.status == http.StatusNotFound && before.id != "" && time.Since(before.ended) < siteRetention:
		l.report(fmt.Sprintf("LOST: turn %s of %s was answered 404; its previous turn %s was answered whole %s before",
			t.id, p.name, before.id, time.Since(before.ended).Round(time.Millisecond)))
		return false
	}
	return true
}

// runProgram runs one program and reports whether another one may begin.
func (l *turnLines) runProgram(name string) bool {
	p := &agentProgram{name: name, budget: 10000, ends: time.Now().Add(10 * time.Second)}
	var before turn
	for range turnsOfProgram {
		t, ok := l.retriedTurn(p, before)
		if !ok {
			return l.pause()
		}
		before = t
		if rand.IntN(3) == 0 {
			l.startSubAgents(p, before)
		}
		if !l.pause() {
			return false
		}
	}
	return true
}

// retriedTurn sends a turn, and again at most twice if it failed.
func (l *turnLines) retriedTurn(p *agentProgram, before turn) (turn, bool) {
	for range 3 {
		entry, _ := l.entries()
		t := l.f.sendTurn(entry, p, before.id)
		if !l.judge(p, t, before) {
			return t, false
		}
		if t.whole {
			return t, true
		}
		if !l.pause() {
			return t, false
		}
	}
	return turn{}, false
}

func (l *turnLines) report(what string) {
	l.f.rec.printf("%s", what)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.what == "" {
		l.what = what
	}
}
