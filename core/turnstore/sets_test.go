package turnstore

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
)

// setsModel plays the set of a region with stores, gateways that hold former sets, lost disks,
// copies, comparisons and changes of the set, one message at a time in random order.
type setsModel struct {
	t     *testing.T
	r     *rand.Rand
	now   time.Time
	set   *quorum.Set
	disks map[quorum.StoreID]*Store
	// retired holds the members that have to leave without a replacement.
	retired map[quorum.StoreID]bool
	// silent holds the disks of frozen VMs, and lost the number of disks that were lost since all
	// members were complete. tolerance is the number that may be lost.
	silent          map[quorum.StoreID]bool
	lost, tolerance int
	// completeSize is the number of remaining members when all were complete for the last time.
	completeSize int
	// fixedSize reports whether no member is added and none leaves.
	fixedSize bool
	// fromFormer is the number of copies that needed former members.
	fromFormer int
	copies     map[quorum.StoreID]*modelCopy
	gateways   []*quorum.Set
	calls      []*modelCall
	stored     []TurnKey
	last       int
}

// modelCopy is a copy or a comparison of one store.
type modelCopy struct {
	set      *quorum.Set
	sources  []quorum.Member
	contacts quorum.Contacts
	asked    []quorum.Contact
}

// modelCall is a write of a turn, or a read of one if turn is nil.
type modelCall struct {
	gateway            int
	set                *quorum.Set
	turn               *Turn
	key                TurnKey
	members            []quorum.Member
	remaining, leaving int
}

func (m *setsModel) newDisk(host string) quorum.Member {
	m.last++
	id := quorum.StoreID(fmt.Sprintf("%s/%d", host, m.last))
	m.disks[id] = NewScoped("north", id)
	return quorum.Member{ID: id, Name: host, Region: "north"}
}

// newHost returns a disk of another VM.
func (m *setsModel) newHost() quorum.Member { return m.newDisk(fmt.Sprint("host", m.last)) }

// at returns the disk that answers at the address of a member, or nil. A VM has one disk.
func (m *setsModel) at(id quorum.StoreID) *Store {
	for other := range m.disks {
		if other.Address() == id.Address() {
			return m.answering(other)
		}
	}
	return nil
}

// answering returns the disk of a member if it answers, or nil.
func (m *setsModel) answering(id quorum.StoreID) *Store {
	if m.silent[id] {
		return nil
	}
	return m.disks[id]
}

// step delivers a message or changes something.
func (m *setsModel) step() {
	m.now = m.now.Add(time.Millisecond)
	switch n := m.r.IntN(100); {
	case n < 2:
		m.loseDisk()
	case n < 8:
		m.changeSet()
	case n < 10:
		m.retire()
	case n < 12:
		m.gateways[m.r.IntN(len(m.gateways))] = m.set
	case n < 14:
		for _, id := range slices.Sorted(maps.Keys(m.disks)) {
			if m.r.IntN(4) == 0 && !m.silent[id] {
				m.disks[id].AdoptSet(m.set)
			}
		}
	case n < 16:
		m.freezeOrWake()
	case n < 40:
		m.copyStep()
	case n < 50 || len(m.calls) == 0:
		m.startCall()
	default:
		m.callStep(m.r.IntN(len(m.calls)))
	}
}

func (m *setsModel) remaining() int {
	return len(slices.DeleteFunc(slices.Clone(m.set.Members), func(x quorum.Member) bool { return x.Leaving || m.retired[x.ID] }))
}

// loseDisk loses the disk of a member, as long as the tolerance allows it: a lost disk counts until
// all members are complete. The last disk is not lost; a member that was added and still copies does
// not make it one of two.
func (m *setsModel) loseDisk() {
	complete := !slices.ContainsFunc(m.set.Members, func(x quorum.Member) bool { s := m.disks[x.ID]; return s == nil || !s.Complete() })
	if complete {
		m.lost, m.completeSize = 0, m.remaining()
	}
	x := m.set.Members[m.r.IntN(len(m.set.Members))]
	if m.lost < min(m.tolerance, m.completeSize-1, m.remaining()-1) && m.disks[x.ID] != nil {
		m.lost++
		delete(m.disks, x.ID)
		delete(m.copies, x.ID)
		delete(m.silent, x.ID)
	}
}

// freezeOrWake freezes the VM of a member, or wakes all.
func (m *setsModel) freezeOrWake() {
	if m.r.IntN(2) == 0 {
		clear(m.silent)
		return
	}
	x := m.set.Members[m.r.IntN(len(m.set.Members))]
	m.silent[x.ID] = m.disks[x.ID] != nil
}

func (m *setsModel) retire() {
	x := m.set.Members[m.r.IntN(len(m.set.Members))]
	if m.remaining() > 1 && !m.fixedSize {
		m.retired[x.ID] = true
	}
}

// others counts the members that answer, without one of them.
func (m *setsModel) others(without quorum.StoreID) quorum.Others {
	var out quorum.Others
	for _, x := range m.set.Members {
		s := m.answering(x.ID)
		switch {
		case s == nil || x.ID == without:
		case s.set == nil || s.set.Epoch != m.set.Epoch:
			out.Unsettled++
		case !s.Complete():
			out.Unsettled++
			out.Incomplete++
		default:
			out.Complete++
			out.Whole = out.Whole || s.Whole() == m.set.Epoch
		}
	}
	return out
}

// remainHoldingAll reports whether all members that are not leaving answer and hold every record
// acknowledged before the set.
func (m *setsModel) remainHoldingAll() bool {
	return !slices.ContainsFunc(m.set.Members, func(x quorum.Member) bool {
		s := m.answering(x.ID)
		return !x.Leaving && (s == nil || s.set == nil || s.set.Epoch != m.set.Epoch || !s.Complete() || s.Whole() != m.set.Epoch)
	})
}

// changeSet changes the set as core/coordinator does.
func (m *setsModel) changeSet() {
	for _, x := range m.set.Members {
		diskLost := m.disks[x.ID] == nil
		if m.answering(x.ID) != nil || m.retired[x.ID] || !m.set.MayReplace(m.others(x.ID), diskLost) {
			continue
		}
		if diskLost && m.r.IntN(2) == 0 {
			m.set = m.set.Replace(x.ID, m.newDisk(x.ID.Address()))
		} else {
			m.set = m.set.Replace(x.ID, m.newHost())
		}
		return
	}
	copying := m.others("").Unsettled > 0
	for _, x := range m.set.Members {
		if m.retired[x.ID] && !x.Leaving && !copying {
			m.set = m.set.MarkLeaving(x.ID)
			return
		}
	}
	if next := m.set.WithoutLeaving(); len(next.Members) < len(m.set.Members) && m.remainHoldingAll() {
		m.set = next
		return
	}
	if len(m.set.Members) < 5 && !m.fixedSize && !copying && m.r.IntN(4) == 0 {
		m.set = m.set.Replace("", m.newHost())
	}
}

// copyStep lets a random store copy from, or compare with, one other member.
func (m *setsModel) copyStep() {
	x := m.set.Members[m.r.IntN(len(m.set.Members))]
	s := m.answering(x.ID)
	if s == nil || s.set == nil || !(s.NeedsCopy() || (s.Complete() && s.Whole() < s.set.Epoch)) {
		return
	}
	c := m.copies[x.ID]
	if c == nil || c.set.Epoch != s.set.Epoch || len(c.sources) == 0 {
		c = &modelCopy{set: s.set, sources: slices.DeleteFunc(slices.Clone(s.set.Members), func(o quorum.Member) bool { return o.ID == x.ID })}
		m.r.Shuffle(len(c.sources), func(i, j int) { c.sources[i], c.sources[j] = c.sources[j], c.sources[i] })
		if !s.Complete() {
			c.sources = append(c.sources, s.set.Former...)
		}
		m.copies[x.ID] = c
	}
	wasComplete, whole := s.Complete(), s.Whole()
	if len(c.sources) > 0 {
		from := c.sources[0]
		c.sources = c.sources[1:]
		m.pull(s, c, from, wasComplete)
	}
	self, _ := s.member()
	switch holdsAll := c.set.HoldsAll(c.contacts, wasComplete, whole); {
	case holdsAll && wasComplete:
		s.MarkWhole(c.set)
		m.restore(x.ID)
	case holdsAll:
		s.FinishCopy(c.set, false)
		m.restore(x.ID)
	case !wasComplete && c.set.HoldsAllBefore(self.Joined, c.asked):
		s.FinishCopy(c.set, true)
		m.fromFormer++
		m.restore(x.ID)
	}
}

// restore restarts a store from its disk: what it concludes from a copy must still hold then.
func (m *setsModel) restore(id quorum.StoreID) {
	before, restored := m.disks[id], NewScoped("north", id)
	for _, record := range before.LiveRecords() {
		must.NoError(m.t, restored.Restore(m.now, record))
	}
	must.Eq(m.t, before.memberStatus(before.set.Epoch), restored.memberStatus(before.set.Epoch))
	m.disks[id] = restored
}

func (m *setsModel) pull(s *Store, c *modelCopy, from quorum.Member, wasComplete bool) {
	source := m.at(from.ID)
	if source == nil {
		return
	}
	reply, _ := source.Pull(&Pull{Set: c.set})
	s.AdoptSet(reply.Status.NewerSet)
	if !reply.Status.IsFrom(c.set, from) || reply.Status.Epoch != c.set.Epoch {
		return
	}
	c.asked = append(c.asked, quorum.Contact{Member: from, Complete: reply.Status.IsCompleteFor(from)})
	if from.Left == 0 && (!reply.Status.Accepted || (!reply.Status.Complete && !wasComplete)) {
		return
	}
	s.CopyTurns(m.now, source.Fetch(&Fetch{Turns: s.Missing(reply)}).Turns)
	switch {
	case from.Left > 0:
	case reply.Status.Complete:
		c.contacts.Complete++
		c.contacts.Whole = c.contacts.Whole || reply.Status.Whole == c.set.Epoch
	case from.Joined < c.set.Epoch:
		c.contacts.Incomplete++
	}
}

func (m *setsModel) startCall() {
	call := &modelCall{gateway: m.r.IntN(len(m.gateways))}
	if m.r.IntN(2) == 0 && len(m.stored) > 0 {
		call.key = m.stored[m.r.IntN(len(m.stored))]
	} else {
		m.last++
		call.key = TurnKey{ID: fmt.Sprint(m.last)}
		call.turn = &Turn{Key: call.key, Retention: time.Hour}
	}
	m.restart(call)
	m.calls = append(m.calls, call)
}

func (m *setsModel) restart(call *modelCall) {
	call.set = m.gateways[call.gateway]
	call.members = slices.Clone(call.set.Members)
	call.remaining, call.leaving = 0, 0
	m.r.Shuffle(len(call.members), func(i, j int) { call.members[i], call.members[j] = call.members[j], call.members[i] })
}

// callStep sends a call to one more member.
func (m *setsModel) callStep(i int) {
	call := m.calls[i]
	end := func() { m.calls = slices.Delete(m.calls, i, i+1) }
	if len(call.members) == 0 {
		end() // 503
		return
	}
	member := call.members[0]
	call.members = call.members[1:]
	s := m.at(member.ID)
	if s == nil {
		return
	}
	var status MemberStatus
	found := false
	for _, set := range []*quorum.Set{nil, call.set} {
		if call.turn != nil {
			reply, _ := s.Write(m.now, &Write{Epoch: call.set.Epoch, Set: set, Turn: call.turn})
			status = reply.Status
		} else {
			reply, _ := s.Read(m.now, &ReadChain{Epoch: call.set.Epoch, Set: set, Key: call.key})
			status, found = reply.Status, len(reply.Turns) > 0
		}
		if !status.WantsSet {
			break
		}
	}
	switch {
	case found:
		end()
		return
	case status.NewerSet != nil:
		if status.NewerSet.Epoch > m.gateways[call.gateway].Epoch {
			m.gateways[call.gateway] = status.NewerSet
		}
		m.restart(call)
		return
	case !status.Accepted || !status.Complete || !status.IsFrom(call.set, member):
		return
	case member.Leaving:
		call.leaving++
	default:
		call.remaining++
	}
	switch {
	case call.turn != nil && call.set.IsStored(call.remaining, call.leaving):
		m.stored = append(m.stored, call.key)
		end()
	case call.turn == nil && call.remaining+call.leaving >= call.set.AbsenceQuorum():
		must.Unreachable(m.t, must.Sprintf("turn %s is absent by epoch %d, the set is %+v", call.key.ID, call.set.Epoch, m.set))
	}
}

// isSettled reports whether all members have adopted the set and copied their records. One that is
// retired waits until the others hold all, also without its disk.
func (m *setsModel) isSettled() bool {
	return !slices.ContainsFunc(m.set.Members, func(x quorum.Member) bool {
		s := m.disks[x.ID]
		return !m.retired[x.ID] && (s == nil || s.set == nil || s.set.Epoch != m.set.Epoch || !s.Complete())
	})
}

// settle wakes all VMs and lets the copies end, without further losses, and checks that each stored
// turn is found.
func (m *setsModel) settle() {
	clear(m.silent)
	for n := 0; n < 4000 && !m.isSettled(); n++ {
		m.now = m.now.Add(time.Millisecond)
		for _, s := range m.disks {
			s.AdoptSet(m.set)
		}
		if m.r.IntN(20) == 0 {
			m.changeSet()
		}
		m.copyStep()
	}
	must.True(m.t, m.isSettled(), must.Sprintf("a member has not copied its records; the set is %+v", m.set))
	for _, key := range m.stored {
		holders := 0
		for _, x := range m.set.Members {
			if s := m.disks[x.ID]; s != nil && s.turns[key] != nil {
				holders++
			}
		}
		must.Positive(m.t, holders, must.Sprint("turn ", key.ID))
		if m.fixedSize {
			must.GreaterEq(m.t, m.set.Majority(), holders, must.Sprintf("turn %s; the set is %+v", key.ID, m.set))
		}
	}
}

// runModel runs the model on seeds and checks that it did something. With a size the sets have that size and
// need a majority, else they grow and shrink with a tolerance of 2.
func runModel(t *testing.T, size int) {
	stored, fromFormer, epochs := 0, 0, domain.Epoch(0)
	for seed := range uint64(seeds) {
		n := size
		m := &setsModel{
			t: t, r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), disks: map[quorum.StoreID]*Store{},
			retired: map[quorum.StoreID]bool{}, copies: map[quorum.StoreID]*modelCopy{}, silent: map[quorum.StoreID]bool{},
			fixedSize: size > 0, tolerance: 1,
		}
		m.set = &quorum.Set{Epoch: 1, Scope: "north"}
		if !m.fixedSize {
			m.tolerance, m.set.Tolerance, n = 2, 2, 1+m.r.IntN(5)
		}
		for range n {
			m.set.Members = append(m.set.Members, m.newHost())
		}
		m.gateways = []*quorum.Set{m.set, m.set, m.set}
		for range 1500 {
			m.step()
		}
		m.settle()
		stored += len(m.stored)
		fromFormer += m.fromFormer
		epochs += m.set.Epoch
	}
	t.Logf("%d turns were stored, in %d sets; %d copies needed former members", stored, epochs, fromFormer)
	must.Greater(t, 20*seeds, stored)
	must.Positive(t, fromFormer)
	must.Greater(t, 5*seeds, int(epochs))
}

// Guards against an acknowledged turn that is taken for absent or is lost, whatever the order of
// messages, with up to two disks lost at a time, frozen VMs, VMs that come back with another disk,
// replacements, growth and members that leave.
func TestStoredTurnIsNeverAbsentInSmallSets(t *testing.T) { runModel(t, 0) }

// Guards against the same in the set over all regions, with one disk lost at a time.
func TestStoredTurnIsNeverAbsentInSetOfThree(t *testing.T) { runModel(t, 3) }

// seeds is the number of runs of the model.
const seeds = 300
