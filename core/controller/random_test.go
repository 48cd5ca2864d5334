package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/internal/check"
)

// fault is a kind of failure. begin starts it and returns the function that ends
// it.
type fault struct {
	name  string
	begin func(w *world, l *load, vm domain.VM) (end func())
}

func allFaults() []fault {
	return []fault{
		{"kill", func(w *world, _ *load, vm domain.VM) func() {
			w.kill(vm)
			return func() { w.restart(vm) }
		}},
		{"quick restart", func(w *world, _ *load, vm domain.VM) func() {
			w.kill(vm)
			w.restart(vm)
			return func() {}
		}},
		{"cut data centre", func(w *world, _ *load, vm domain.VM) func() {
			w.faults.cutOff[centreOf(vm)] = true
			return func() { delete(w.faults.cutOff, centreOf(vm)) }
		}},
		{"isolate", func(w *world, _ *load, vm domain.VM) func() {
			w.faults.isolated[vm] = true
			return func() { delete(w.faults.isolated, vm) }
		}},
		{"silent link", func(w *world, l *load, vm domain.VM) func() {
			to := w.names[l.rand.IntN(len(w.names))]
			w.faults.silent[link{vm, to}] = true
			w.faults.silent[link{to, vm}] = l.rand.IntN(2) == 0
			return func() {}
		}},
		{"drain", func(w *world, l *load, vm domain.VM) func() {
			l.avoid[vm] = true
			w.vms[vm].step(Drain{})
			return func() {
				w.kill(vm)
				w.restart(vm)
				delete(l.avoid, vm)
			}
		}},
		{"disk error", func(w *world, _ *load, vm domain.VM) func() {
			w.vms[vm].diskError = errors.New("input/output error")
			return func() {
				w.vms[vm].diskError = nil
				w.kill(vm)
				w.restart(vm)
			}
		}},
	}
}

const (
	// faultTime is longer than every lease term and than a takeover.
	faultTime = 8 * time.Second
	// repairTime lets the owners replicate their shards before the next pair of
	// faults, because the loss of both replicas of a shard loses its programs.
	repairTime = 20 * time.Second
)

// Guards against combinations of failures that lose, repeat or mix up acknowledged
// calls. The environment variable SOAK sets the first seed of a long run.
func TestRandomFaults(t *testing.T) {
	first, runs := uint64(1), uint64(4)
	if text := os.Getenv("SOAK"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		must.NoError(t, err)
		first, runs = seed, 40
	}
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomRun(t, seed)
		})
	}
}

func randomRun(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 3, 3)
	w.setUp()
	w.watch(20 * time.Millisecond)
	l := newLoad(w, 9)
	draw := rand.New(rand.NewPCG(seed, 4))
	var names []string
	for range 3 {
		// The two faults affect different data centres, so that a shard keeps one of
		// its two replicas.
		order := draw.Perm(3)
		for i := range 2 {
			f := allFaults()[draw.IntN(len(allFaults()))]
			vm := domain.VM(fmt.Sprintf("%c%d", 'a'+order[i], 1+draw.IntN(3)))
			names = append(names, fmt.Sprintf("%s of %s at %v", f.name, vm, w.now.Sub(w.start)))
			w.after(faultTime, f.begin(w, l, vm))
			w.run(time.Duration(draw.IntN(3000)) * time.Millisecond)
		}
		w.run(faultTime)
		w.faults.heal()
		w.run(repairTime)
	}
	l.stop()
	l.readAll()
	err := errors.Join(l.unfinished(), check.Programs(l.history), check.RunOnce(l.executions()))
	t.Logf("%d calls committed, %d refused; %s", l.committed, len(l.refusals), strings.Join(names, "; "))
	must.Positive(t, l.committed)
	if err == nil {
		return
	}
	// The testing package deletes its temporary folder at the end of the test.
	folder, failed := os.MkdirTemp("", fmt.Sprintf("mangoknot-seed-%d-", seed))
	must.NoError(t, failed)
	path := filepath.Join(folder, "history.json")
	text, _ := json.MarshalIndent(l.history, "", " ")
	must.NoError(t, os.WriteFile(path, text, 0o600))
	t.Fatalf("seed %d: %v; the history is in %s; replay with: SOAK=%d go test -timeout 120s -run 'TestRandomFaults/^%d$' ./core/controller", seed, err, path, seed, seed)
}

// unfinished returns an error if calls did not end after all faults had ended.
func (l *load) unfinished() error {
	if l.running > 0 {
		return fmt.Errorf("%d calls did not end", l.running)
	}
	return nil
}

// readAll reads the turns of each program after the run and adds these reads to
// the history.
func (l *load) readAll() {
	w := l.world
	calls := map[program.HistoryRef]string{}
	names := map[domain.ProgramName]bool{}
	for _, op := range l.history {
		call := op.Input.(check.Append).Call
		calls[turnOf(domain.CallID(call))] = call
		names[domain.ProgramName(op.Key)] = true
	}
	for name := range names {
		w.tickets++
		ticket, v, at := w.tickets, w.vms["a2"], w.now
		v.step(GetProgram{Ticket: ticket, Program: chat(name).Program})
		w.until(10*time.Second, func() bool { return len(v.replies[ticket]) > 0 })
		reply, ok := v.replies[ticket][0].Body.(*program.GetProgramReply)
		must.True(w.t, ok, must.Sprint(name, " cannot be read: ", v.replies[ticket]))
		turns := check.Turns{}
		for _, ref := range reply.History {
			turns = append(turns, calls[ref])
		}
		l.history = append(l.history, check.Op{Key: string(name), Call: at.UnixNano(), Return: w.now.UnixNano(), Input: check.Read{}, Output: turns})
	}
}

// executions returns the run-once requests with the outcomes that callers received
// and the executions that targets received.
func (l *load) executions() []check.Op {
	var ops []check.Op
	once := map[string]bool{}
	for _, op := range l.history {
		out, ok := op.Output.(check.Appended)
		if !ok || op.Client%2 != 0 {
			continue
		}
		call := op.Input.(check.Append).Call
		once[call] = true
		ops = append(ops, check.Op{Key: call, Call: op.Call, Return: op.Return, Input: check.Request{}, Output: out.Outcome})
	}
	for _, a := range l.world.started {
		if at := a.at.UnixNano(); once[string(a.start.Call)] {
			ops = append(ops, check.Op{Key: string(a.start.Call), Call: at, Return: at, Input: check.Execute{}})
		}
	}
	return ops
}
