package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/quorum"
)

// loseDisk lets the i-th store report with another disk.
func (r *rig) loseDisk(i int) quorum.StoreID {
	s := r.stores[i]
	s.ID, s.New, s.Whole = quorum.StoreID(s.ID.Address()+"/2"), true, 0
	r.stores[i] = s
	r.copying[s.ID] = true
	return s.ID
}

// holdAllOfFirstSet lets all stores report that they hold every record from before the first set,
// of which there is none.
func (r *rig) holdAllOfFirstSet() {
	for i := range r.stores {
		r.stores[i].Whole = quorum.FirstEpoch
	}
}

// Guards against a member that loses its seat, and with it its records, to a VM that has lost the
// disk of another member (LOST in the second review): for each pair of members, with the spare VM
// in each data centre, and whichever of the two is noticed first.
func TestLostDiskTakesNoOtherSeat(t *testing.T) {
	for frozen := range 3 {
		for lost := range 3 {
			for spare := range 6 {
				if frozen == lost {
					continue
				}
				name := fmt.Sprintf("frozen=%d lost=%d spare=%d", frozen, lost, spare)
				r := storeRig(t, 1, 0)
				r.stores = append(r.stores, storeStatus("s3", "1", string(rune('a'+spare%3))))
				// A VM that has just been added may take the seat of a silent member at once.
				r.stores[3].New = spare >= 3
				r.holdAllOfFirstSet()
				frozenID := r.stores[frozen].ID
				if spare%2 == 0 {
					r.silent[frozenID] = true
					r.run(500 * time.Millisecond)
				}
				successor := r.loseDisk(lost)
				r.silent[frozenID] = true
				r.run(5 * time.Second)
				set := r.leader().c.state.Stores
				_, keeps := set.Member(frozenID)
				must.True(t, keeps, must.Sprint(name))
				must.Eq(t, 2, set.Epoch, must.Sprint(name))
				_, seated := set.Member(successor)
				must.True(t, seated, must.Sprint(name))
				// The frozen VM is back and the copy ends.
				delete(r.silent, frozenID)
				delete(r.copying, successor)
				r.run(2 * time.Second)
				must.Eq(t, 2, r.leader().c.state.Stores.Epoch, must.Sprint(name))
			}
		}
	}
}

// Guards against two members that are silent at the same time, of which one loses its seat to a VM
// that has just been added, or to a spare one: a record may be on these two only.
func TestSilentMembersKeepTheirSeats(t *testing.T) {
	for _, added := range []bool{true, false} {
		r := storeRig(t, 1, 0)
		before := memberIDs(r.leader().c.state.Stores)
		r.holdAllOfFirstSet()
		r.silent["s0/1"], r.silent["s1/1"] = true, true
		r.stores = append(r.stores, storeStatus("s9", "1", "b"))
		r.stores[3].New = added
		r.run(spareReplacesAfter + 2*time.Second)
		must.Eq(t, before, memberIDs(r.leader().c.state.Stores))
		// One of them is back, so that the records are on two live members again.
		delete(r.silent, "s0/1")
		r.run(2 * time.Second)
		r.expectMembers("s0/1", "s2/1", "s9/1")
	}
}

// Guards against a retired member that is removed while a silent one may hold the only other copy
// of a record, and against a lost member that is not replaced because a retired one cannot leave.
func TestRetirementWaitsForSilentMember(t *testing.T) {
	r := storeRig(t, 1, 2)
	r.holdAllOfFirstSet()
	r.silent["s1/1"] = true
	r.run(storeLostAfter + 300*time.Millisecond)
	_, err := r.leader().c.Retire(r.now, "s0")
	must.NoError(t, err)
	r.run(3 * time.Second)
	r.expectMembers("s0/1", "s1/1", "s2/1")
	successor := r.loseDisk(1)
	r.run(3 * time.Second)
	r.expectMembers("s0/1", successor, "s2/1")
	delete(r.copying, successor)
	r.run(3 * time.Second)
	_, in := r.leader().c.state.Stores.Member("s0/1")
	must.False(t, in)
}

// Guards against a first set with two disks of one VM, which counts as two members.
func TestFirstSetHasOneDiskOfEachVM(t *testing.T) {
	r := newRig(t, 9)
	for i := range 2 {
		r.stores = append(r.stores, storeStatus(fmt.Sprint("s", i), "1", string(rune('a'+i))))
	}
	r.run(3 * time.Second)
	r.loseDisk(0)
	r.run(500 * time.Millisecond)
	must.Nil(t, r.leader().c.state.Stores)
	r.stores = append(r.stores, storeStatus("s2", "1", "c"))
	r.run(time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
}

// Guards against the same in the set of a region, which chooses its replacements differently.
func TestLostDiskTakesNoOtherSeatInRegion(t *testing.T) {
	r := newRegionRig(t, 5, 4, true)
	frozen := r.stores[1].ID
	r.silent[frozen] = true
	r.run(500 * time.Millisecond)
	successor := r.addStore("north", 0, "second")
	r.stores[0], r.stores = r.stores[len(r.stores)-1], r.stores[:len(r.stores)-1]
	r.copying[successor] = true
	r.run(5 * time.Second)
	set := r.state().set("north")
	must.Len(t, 5, set.Members)
	for _, id := range []quorum.StoreID{frozen, successor} {
		_, in := set.Member(id)
		must.True(t, in, must.Sprint(id))
	}
}
