package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a single VM that is not assigned its own shards. The --dev mode
// depends on this.
func TestSingleVMServes(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.setUp()
	turn, err := w.finish("a1", w.call("a1", chat("p")), 10*time.Second)
	must.NoError(t, err, must.Sprint(w.log))
	must.Eq(t, 1, turn)
}

// Guards against calls that succeed only at the owner of their program.
func TestAnyVMServesAnyProgram(t *testing.T) {
	w := newWorld(t, 2, 3, 2)
	w.setUp()
	for i, name := range w.names {
		turn, err := w.finish(name, w.call(name, chat("p")), 10*time.Second)
		must.NoError(t, err, must.Sprint(w.log))
		must.Eq(t, i+1, turn)
	}
}

// Guards against a program that has no owner after its owner failed, and against a
// lost or repeated turn.
func TestHistorySurvivesOwnerLoss(t *testing.T) {
	w := newWorld(t, 3, 3, 2)
	w.setUp()
	for i := range 3 {
		turn, err := w.finish("a1", w.call("a1", chat("p@b")), 10*time.Second)
		must.NoError(t, err)
		must.Eq(t, i+1, turn)
	}
	shard, err := w.vms["a1"].view.ShardOfProgram(chat("p@b").Program)
	must.NoError(t, err)
	owner := w.vms["a1"].view.Assignment(shard).Owner
	w.vms[owner].kill()
	died := w.now
	turn, err := w.finish("a1", w.call("a1", chat("p@b")), 10*time.Second)
	must.NoError(t, err, must.Sprint(w.log))
	must.Eq(t, 4, turn)
	t.Logf("the next turn was served %v after the failure of the owner", w.now.Sub(died))
	must.Less(t, 3*time.Second, w.now.Sub(died))
}

// Guards against VMs that cannot join. When all VMs start at once, no voter knows
// the address of the others before they are registered, so their heartbeats get no
// reply until the first leader is elected.
func TestUnknownVMsRegister(t *testing.T) {
	w := newWorldWith(t, 4, 3, 2, func(v *vm) {
		v.config.Seeds = map[domain.VM]string{}
		for _, voter := range v.config.Voters {
			v.config.Seeds[voter] = "10.0.0.1:1"
		}
	})
	w.cut = func(from, to domain.VM) bool { return w.vms[from].state.Addresses[to] == "" }
	w.setUp()
}
