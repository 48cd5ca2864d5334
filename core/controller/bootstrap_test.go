package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

func (w *world) changeVoters(through domain.VM, kind raft.ChangeKind, name domain.VM) *domain.Refusal {
	w.t.Helper()
	w.tickets++
	ticket, v := w.tickets, w.vms[through]
	v.step(ChangeVoters{Ticket: ticket, Change: raft.VoterChange{Kind: kind, VM: name}})
	must.True(w.t, w.until(10*time.Second, func() bool { return len(v.replies[ticket]) > 0 }))
	return v.replies[ticket][0].Body.(ChangeReply).Refusal
}

// Guards against a voter that votes again after it has lost its disk, so that a
// majority without an acknowledged change could form, and against a lost voter
// that cannot be replaced.
func TestLostVoterDiskRejoinsAsLearner(t *testing.T) {
	w := newWorld(t, 4, 3, 2)
	w.setUp()
	lost := w.vms["c1"]
	lost.kill()
	lost.streams = map[Stream][]domain.Record{}
	w.run(time.Second)
	lost.start()
	w.run(5 * time.Second)
	must.Nil(t, lost.ctl.raft, must.Sprint("the voter started Raft without its log"))
	must.Nil(t, w.changeVoters("a2", raft.Remove, "c1"))
	w.run(3 * time.Second)
	must.Nil(t, w.changeVoters("b2", raft.AddLearner, "c1"))
	voters := func() []domain.VM { return w.vms["a1"].ctl.state.View().Voters() }
	must.True(t, w.until(10*time.Second, func() bool { return slices.Contains(voters(), "c1") }), must.Sprint(w.log))
	// The majority needs the repaired voter when a second one is lost.
	must.Nil(t, w.change("a1", "before", &config.SetPreset{Name: config.PresetPeak}).Refusal)
	w.vms["b1"].kill()
	reply := w.change("c1", "after", &config.SetPreset{Name: config.PresetMaintenance})
	must.Nil(t, reply.Refusal)
}
