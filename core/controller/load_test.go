package controller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/internal/check"
)

// load runs one caller for each program and records a history. A caller sends its
// next call when the previous one has ended.
type load struct {
	world     *world
	rand      *rand.Rand
	avoid     map[domain.VM]bool
	history   []check.Op
	refusals  []*domain.Refusal
	committed int
	running   int
	stopped   bool
}

// callPause is the time between two calls of a caller. It keeps nine callers below
// the account's rate.
const callPause = 200 * time.Millisecond

func newLoad(w *world, programs int) *load {
	l := &load{world: w, rand: rand.New(rand.NewPCG(w.rand.Uint64(), 3)), avoid: map[domain.VM]bool{}}
	for i := range programs {
		name := domain.ProgramName(fmt.Sprintf("load-%d@%c", i, w.names[i%len(w.names)][0]))
		w.after(time.Duration(i)*time.Millisecond, func() { l.next(name, i) })
	}
	return l
}

// stop ends the load and waits for the in-flight calls.
func (l *load) stop() {
	l.stopped = true
	l.world.until(60*time.Second, func() bool { return l.running == 0 })
}

// entry returns a random VM that the load balancer may choose, or an empty name.
// Such a VM is up, serves and is not being drained.
func (l *load) entry() domain.VM {
	var ready []domain.VM
	for _, name := range l.world.names {
		if v := l.world.vms[name]; v.up && !l.avoid[name] && v.state.Serving && !v.state.Isolated {
			ready = append(ready, name)
		}
	}
	if len(ready) == 0 {
		return ""
	}
	return ready[l.rand.IntN(len(ready))]
}

func (l *load) next(name domain.ProgramName, client int) {
	w := l.world
	if l.stopped {
		return
	}
	through := l.entry()
	if through == "" {
		w.after(100*time.Millisecond, func() { l.next(name, client) })
		return
	}
	begin := chat(name)
	begin.Call = domain.CallID(fmt.Sprintf("%s-%d", name, len(l.history)))
	begin.RunOnce, begin.Fingerprint[0] = client%2 == 0, byte(len(l.history))
	v, at := w.vms[through], w.now
	process := v.process
	l.running++
	l.poll(v, process, w.call(through, begin), func(committed *program.CallCommitted, refused *domain.Refusal) {
		l.running--
		l.record(string(name), client, at, string(begin.Call), committed, refused)
		w.after(callPause, func() { l.next(name, client) })
	})
}

// poll waits for the end of a call. If the entry VM fails, the call ends without a
// reply.
func (l *load) poll(v *vm, process int, t Ticket, done func(*program.CallCommitted, *domain.Refusal)) {
	committed, refused, ended := v.outcome(t)
	switch {
	case ended:
		done(committed, refused)
	case v.process != process:
		done(nil, nil)
	default:
		l.world.after(time.Millisecond, func() { l.poll(v, process, t, done) })
	}
}

func (l *load) record(name string, client int, at time.Time, call string, committed *program.CallCommitted, refused *domain.Refusal) {
	op := check.Op{Key: name, Client: client, Call: at.UnixNano(), Return: l.world.now.UnixNano(), Input: check.Append{Call: call}}
	switch {
	case committed != nil:
		l.committed++
		op.Output = check.Appended{Outcome: check.Done, Turn: committed.Turn}
	case refused != nil && refused.Outcome == domain.OutcomeNotRun:
		op.Output = check.Appended{Outcome: check.NotRun}
	default:
		op.Output, op.Return = check.Appended{Outcome: check.Unknown}, check.NoResponse
	}
	if refused != nil {
		l.refusals = append(l.refusals, refused)
	}
	l.history = append(l.history, op)
}
