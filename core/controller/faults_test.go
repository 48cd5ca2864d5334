package controller

import (
	"crypto/sha256"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/program"
)

// link is one direction of the connection between two VMs.
type link struct{ from, to domain.VM }

// faults holds the active network failures.
type faults struct {
	// isolated VMs exchange messages with no other VM.
	isolated map[domain.VM]bool
	// cutOff are the data centres that are cut off from the others.
	cutOff map[domain.DataCentre]bool
	// silent links lose all messages until their connection is replaced.
	silent map[link]bool
}

func newFaults() faults {
	return faults{isolated: map[domain.VM]bool{}, cutOff: map[domain.DataCentre]bool{}, silent: map[link]bool{}}
}

func centreOf(vm domain.VM) domain.DataCentre { return domain.DataCentre(vm[:1]) }

func (f faults) lost(from, to domain.VM) bool {
	a, b := centreOf(from), centreOf(to)
	return f.isolated[from] || f.isolated[to] || a != b && (f.cutOff[a] || f.cutOff[b])
}

// silentFor reports whether a message is lost on a silent connection. Fresh probes
// use a new connection.
func (f faults) silentFor(from, to domain.VM, m domain.Message) bool {
	switch m := m.(type) {
	case *membership.Ping:
		return f.silent[link{from, to}] && !m.Fresh
	case *membership.Ack:
		return f.silent[link{from, to}] && !m.Fresh
	}
	return f.silent[link{from, to}]
}

func (f faults) replaced(a, b domain.VM) {
	delete(f.silent, link{a, b})
	delete(f.silent, link{b, a})
}

func (f faults) heal() {
	clear(f.isolated)
	clear(f.cutOff)
	clear(f.silent)
}

// arrival is an attempt of a call that reached a target.
type arrival struct {
	at    time.Time
	entry domain.VM
	start *program.StartCall
}

// turnOf returns a history reference that is unique to the call.
func turnOf(call domain.CallID) program.HistoryRef {
	return program.HistoryRef{SHA256: sha256.Sum256([]byte(call)), Length: 1}
}

// clock returns the time of the VM's clock.
func (v *vm) clock() time.Time {
	elapsed := v.world.now.Sub(v.world.start)
	return v.world.now.Add(v.offset + time.Duration(float64(elapsed)*v.drift))
}

// worldTime returns the first simulated time at which the VM's clock shows t.
func (v *vm) worldTime(t time.Time) time.Time {
	if v.offset == 0 && v.drift == 0 {
		return t
	}
	elapsed := float64(t.Sub(v.world.start)-v.offset) / (1 + v.drift)
	return v.world.start.Add(time.Duration(elapsed) + time.Microsecond)
}

// leader returns the configuration leader, or an empty name.
func (w *world) leader() domain.VM {
	for _, name := range w.names {
		if v := w.vms[name]; v.up && v.ctl.hasLeaderLease() {
			return name
		}
	}
	return ""
}

// owner returns the owner and backup of a program in the configuration of a VM.
func (w *world) owner(seenBy domain.VM, id domain.ProgramID) (owner, backup domain.VM) {
	shard, err := w.vms[seenBy].view.ShardOfProgram(id)
	if err != nil {
		w.t.Fatal(err)
	}
	a := w.vms[seenBy].view.Assignment(shard)
	return a.Owner, a.Backup
}

// kill ends the processes of VMs. restart starts them again.
func (w *world) kill(names ...domain.VM) {
	for _, name := range names {
		w.vms[name].kill()
	}
}

func (w *world) restart(names ...domain.VM) {
	for _, name := range names {
		w.vms[name].start()
	}
}

// attempts returns how often a call was sent to a target.
func (w *world) attempts(call domain.CallID) int {
	n := 0
	for _, a := range w.started {
		if a.start.Call == call {
			n++
		}
	}
	return n
}

// checkOwners fails the test when two VMs hold leases for the same shard.
func (w *world) checkOwners() {
	w.t.Helper()
	holders := map[domain.ShardID]domain.VM{}
	for _, name := range w.names {
		v := w.vms[name]
		if !v.up {
			continue
		}
		for _, id := range v.ctl.ownedIDs() {
			if _, owns := v.ctl.shards.Owns(v.clock(), id); !owns {
				continue
			}
			if other, taken := holders[id]; taken {
				w.t.Fatalf("%s: shard %s is owned by %s and %s", w.now, id, other, name)
			}
			holders[id] = name
		}
	}
}

// watch checks the owners of all shards at each interval until the end of the
// simulation.
func (w *world) watch(interval time.Duration) {
	w.after(interval, func() {
		w.checkOwners()
		w.watch(interval)
	})
}

// recovered waits until all VMs are up, serving and not isolated. It reports
// whether this happened within the limit.
func (w *world) recovered(limit time.Duration) bool {
	return w.until(limit, func() bool {
		for _, v := range w.vms {
			if !v.up || !v.state.Serving || v.state.Isolated {
				return false
			}
		}
		return true
	})
}
