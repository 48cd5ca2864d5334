package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
)

// Guards against a lost or stale manifest when voters lose their disks one after the
// other and are replaced at the same or at another address, without an operator.
func TestVotersAreReplaced(t *testing.T) {
	for seed := range uint64(10) {
		r := newRig(t, seed)
		r.run(2 * time.Second)
		r.put(1)
		// One VM loses its disk and restarts at its address.
		r.vms[address(0)].down = true
		r.run(time.Second)
		r.restart(address(0), "second")
		r.put(2)
		r.run(4 * time.Second)
		// Another VM fails permanently, and a VM with another address replaces it.
		r.vms[address(1)].down = true
		r.start(Identity{VM: NewVM(address(5), "x")}, r.vms[address(5)].restoredOrEmpty())
		r.put(3)
		r.run(5 * time.Second)
		// The third VM fails as well.
		r.vms[address(2)].down = true
		r.put(4)
		must.Eq(t, 4, r.read(), must.Sprintf("seed %d", seed))
	}
}

// Guards against a stale read from a leader that is partitioned, or that resumes after a
// freeze during which another leader was elected.
func TestStaleLeaderRejectsReads(t *testing.T) {
	r := newRig(t, 1)
	r.run(2 * time.Second)
	r.put(1)
	old := r.leader()
	oldAddress := VMAddress(old.identity.VM)
	// The leader is frozen and does not step while the others elect another one.
	frozen := r.vms[oldAddress]
	delete(r.vms, oldAddress)
	r.run(3 * time.Second)
	r.put(2)
	r.vms[oldAddress] = frozen
	_, err := frozen.c.Read(r.now)
	must.Error(t, err)
	r.run(time.Second)
	must.Eq(t, 2, r.read())
	// A partitioned leader rejects reads before another leader can be elected.
	cut := r.leader()
	r.partitioned[VMAddress(cut.identity.VM)] = true
	r.run(5 * time.Second)
	_, err = cut.c.Read(r.now)
	must.Error(t, err)
	r.put(3)
}

// Guards against a rejected resend, and against an equal or older version that replaces
// the newest one.
func TestHighestVersionWins(t *testing.T) {
	r := newRig(t, 2)
	r.run(2 * time.Second)
	r.put(7)
	l := r.leader()
	for _, version := range []manifest.Version{7, 3} {
		ticket, err := l.c.Put(r.now, manifest.Document{Version: version, Raw: []byte("other")})
		must.NoError(t, err)
		must.Eq(t, 0, ticket)
	}
	d, err := l.c.Read(r.now)
	must.NoError(t, err)
	must.Eq(t, "7", string(d.Raw))
	// Two operators race: the older version is proposed before the newer one is
	// committed.
	for _, version := range []manifest.Version{9, 8} {
		ticket, err := l.c.Put(r.now, manifest.Document{Version: version, Raw: fmt.Append(nil, version)})
		must.NoError(t, err)
		must.NotEq(t, 0, ticket)
	}
	r.run(time.Second)
	must.Eq(t, 9, r.read())
}

// Guards against lost state when all VMs restart after a snapshot has replaced the log.
func TestRestartAfterSnapshot(t *testing.T) {
	r := newRig(t, 3)
	for i, zone := range []string{"a", "b", "c", "a"} {
		r.stores = append(r.stores, storeStatus(fmt.Sprintf("s%d", i), "1", zone))
	}
	r.run(3 * time.Second)
	_, err := r.leader().c.Retire(r.now, "s1")
	must.NoError(t, err)
	for version := range manifest.Version(3 * entriesPerSnapshot) {
		r.put(version + 1)
	}
	for _, a := range r.addresses() {
		r.restart(a, "")
	}
	r.run(3 * time.Second)
	must.Eq(t, 3*entriesPerSnapshot, r.read())
	must.Eq(t, []Retirement{{Name: "s1", Host: "s1"}}, r.leader().c.state.Retired)
	r.expectMembers("s0/1", "s2/1", "s3/1")
}

// Guards against a storage set that does not replace a lost or retired member, that takes
// a VM with a new disk for the previous member, or that becomes too small by retirement.
func TestStoresAreReplaced(t *testing.T) {
	r := newRig(t, 4)
	for i, zone := range []string{"a", "b", "c"} {
		r.stores = append(r.stores, storeStatus(fmt.Sprintf("s%d", i), "1", zone))
	}
	r.run(3 * time.Second)
	r.expectMembers("s0/1", "s1/1", "s2/1")
	r.stores[0] = storeStatus("s0", "2", "a")
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	// A spare VM replaces a member only after an operator retires that member.
	r.stores = append(r.stores, storeStatus("s3", "1", "b"))
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	_, err := r.leader().c.Retire(r.now, "s1")
	must.NoError(t, err)
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s2/1", "s3/1")
	empty, err := r.leader().c.RetirementComplete(r.now, "s1")
	must.NoError(t, err)
	must.True(t, empty)
	// Three are left, so none may be retired.
	_, err = r.leader().c.Retire(r.now, "s2")
	must.True(t, errors.Is(err, ErrTooFewStores))
	_, err = r.leader().c.Retire(r.now, "nobody")
	must.True(t, errors.Is(err, ErrUnknownStore))
}

// Guards against a VM that is reported as empty while its coordinator still has a vote.
// After its removal, the next failure would leave no majority. Covers the VM of the leader
// and of a follower.
func TestRetiredVMLosesItsVote(t *testing.T) {
	for seed := range uint64(8) {
		r := newRig(t, seed)
		for i, zone := range []string{"a", "b", "c", "a"} {
			r.stores = append(r.stores, StoreStatus{
				ID: quorum.StoreID(fmt.Sprintf("10.0.0.%d:2/1", i)), Name: fmt.Sprintf("vm%d", i), DataCentre: domain.DataCentre(zone),
			})
		}
		r.start(Identity{VM: NewVM(address(3), "x")}, raft.Restored{})
		r.run(3 * time.Second)
		r.put(1)
		retired := int(seed % 3)
		_, err := r.leader().c.Retire(r.now, fmt.Sprintf("vm%d", retired))
		must.NoError(t, err)
		r.run(5 * time.Second)
		empty, err := r.leader().c.RetirementComplete(r.now, fmt.Sprintf("vm%d", retired))
		must.NoError(t, err)
		must.True(t, empty, must.Sprintf("seed %d: vm%d is not empty", seed, retired))
		// The VM is removed, and another one fails.
		delete(r.vms, address(retired))
		r.put(2)
		r.vms[address((retired+1)%3)].down = true
		r.put(3)
		must.Eq(t, 3, r.read(), must.Sprintf("seed %d", seed))
	}
}

// rigWithCopyingStore returns a rig with three stores, the first of which lost its disk and
// copies from the others.
func rigWithCopyingStore(t *testing.T) *rig {
	r := newRig(t, 6)
	for i, zone := range []string{"a", "b", "c"} {
		r.stores = append(r.stores, storeStatus(fmt.Sprintf("s%d", i), "1", zone))
	}
	r.run(3 * time.Second)
	r.copying["s0/2"] = true
	r.stores[0] = storeStatus("s0", "2", "a")
	r.run(3 * time.Second)
	return r
}

// Guards against a second replacement while a joining store is still copying, which could
// remove the only copy of a record.
func TestStoresAreReplacedOneByOne(t *testing.T) {
	r := rigWithCopyingStore(t)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	r.stores[1] = storeStatus("s1", "2", "b")
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	r.copying["s0/2"] = false
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/2", "s2/1")
}

// Guards against a lost store that is not replaced while the successor of an earlier one still
// copies, although a member holds every record.
func TestStoreIsReplacedBesideSlowCopy(t *testing.T) {
	r := rigWithCopyingStore(t)
	// The lost member held every record, and the remaining one does not.
	r.whole["s1/1"] = true
	r.stores[1] = storeStatus("s1", "2", "b")
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	r.whole["s2/1"] = true
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/2", "s2/1")
}

// storeRig returns a rig with a set of 2*tolerance+1 stores and some spare ones.
func storeRig(t *testing.T, tolerance, spares int) *rig {
	r := newTolerantRig(t, 7, tolerance)
	for i := range 2*tolerance + 1 + spares {
		r.stores = append(r.stores, storeStatus(fmt.Sprintf("s%d", i), "1", string(rune('a'+i%3))))
	}
	r.run(3 * time.Second)
	return r
}

// Guards against a member that loses its seat while it is only silent: a VM that is
// frozen, cut off or restarted is back within some seconds with its records, and the copy
// of all records to a spare one was in vain.
func TestSilentStoreKeepsItsSeat(t *testing.T) {
	r := storeRig(t, 1, 2)
	before := memberIDs(r.leader().c.state.Stores)
	r.silent["s0/1"] = true
	r.run(5 * time.Second)
	must.Eq(t, before, memberIDs(r.leader().c.state.Stores))
	delete(r.silent, "s0/1")
	r.run(5 * time.Second)
	must.Eq(t, before, memberIDs(r.leader().c.state.Stores))
	// A VM that stays silent is replaced by a spare one.
	r.silent["s0/1"] = true
	r.run(spareReplacesAfter + time.Second)
	must.False(t, slices.Contains(memberIDs(r.leader().c.state.Stores), "s0/1"))
}

// Guards against a lost VM whose successor at another address has to wait like a spare
// one, so that the repair takes too long.
func TestSuccessorReplacesLostStore(t *testing.T) {
	r := storeRig(t, 1, 0)
	r.silent["s1/1"] = true
	r.run(2 * time.Second)
	added := storeStatus("s9", "1", "b")
	added.New = true
	r.stores = append(r.stores, added)
	r.run(time.Second)
	r.expectMembers("s0/1", "s2/1", "s9/1")
}

// Guards against two members that lose their disks at the same time, as the configuration
// tolerates, and are never replaced because each waits for the other.
func TestTwoLostStoresAreReplaced(t *testing.T) {
	r := storeRig(t, 2, 0)
	r.stores[0] = storeStatus("s0", "2", "a")
	r.stores[1] = storeStatus("s1", "2", "b")
	r.copying["s0/2"], r.copying["s1/2"] = true, true
	r.run(3 * time.Second)
	// The second one waits until the first one has copied.
	r.expectMembers("s0/2", "s1/1", "s2/1", "s3/1", "s4/1")
	delete(r.copying, "s0/2")
	r.run(time.Second)
	r.expectMembers("s0/2", "s1/2", "s2/1", "s3/1", "s4/1")
}

func (r *rig) expectMembers(want ...quorum.StoreID) {
	ids := memberIDs(r.leader().c.state.Stores)
	slices.Sort(ids)
	must.Eq(r.t, want, ids)
}

// Guards against a leader that withholds its list of targets while the platform does not
// answer, and against a VM without a leader that distributes an outdated list.
func TestTargetListAge(t *testing.T) {
	r := newRig(t, 5)
	r.run(2 * time.Second)
	list := []balance.Target{{ID: "t"}}
	l := r.leader()
	l.c.TargetsListed(r.now, r.now, list, nil)
	r.run(5 * time.Second)
	l.c.TargetsListed(r.now, r.now, nil, errors.New("the platform does not answer"))
	must.NotNil(t, l.c.Report(r.now, &Report{}).Targets)
	for _, v := range r.vms {
		if v != l {
			r.partitioned[VMAddress(v.identity.VM)] = true
		}
	}
	r.run(3 * time.Second)
	for _, v := range r.vms {
		v.c.TargetsListed(r.now, r.now, list, nil)
		must.NotNil(t, v.c.Report(r.now, &Report{}).Targets)
		r.run(listMaxAge + time.Second)
		must.Nil(t, v.c.Report(r.now, &Report{}).Targets)
	}
}

// Guards against a gateway that does not learn that another software version has just left,
// and against one that keeps to be told so.
func TestListTellsFormerVersions(t *testing.T) {
	r := newRig(t, 5)
	r.run(2 * time.Second)
	l := r.leader()
	list := func(seconds int, version string) *View {
		for range seconds {
			l.c.TargetsListed(r.now, r.now, []balance.Target{{ID: "t", Service: "s", Version: version}}, nil)
			r.run(time.Second)
		}
		return l.c.Report(r.now, &Report{})
	}
	v := list(2, "v1")
	must.True(t, v.TargetsCurrent)
	must.False(t, v.Targets.Complete, must.Sprint("the history has just begun"))
	v = list(10, "v2")
	must.True(t, v.Targets.Complete)
	must.Eq(t, []origin.Origin{{Service: "s", Version: "v1"}}, v.Targets.Former)
	must.SliceEmpty(t, list(2, "v2").Targets.Former)
	r.run(listMaxAge + time.Second)
	must.False(t, l.c.Report(r.now, &Report{}).TargetsCurrent)
}

// Guards against gateways that go on to use a target which told another gateway that it
// leaves, until the platform's list shows it.
func TestDepartureIsToldToAllGateways(t *testing.T) {
	r := newRig(t, 5)
	r.run(2 * time.Second)
	l := r.leader()
	list := []balance.Target{{ID: "t"}, {ID: "u"}}
	l.c.TargetsListed(r.now, r.now, list, nil)
	before := l.c.Report(r.now, &Report{}).Targets
	l.c.Report(r.now, &Report{Leaving: []domain.Target{"t", "unknown"}})
	after := l.c.Report(r.now, &Report{Targets: before.Sequence}).Targets
	must.NotNil(t, after)
	must.Eq(t, []balance.Target{{ID: "t", Leaving: true}, {ID: "u"}}, after.Targets)
	l.c.TargetsListed(r.now, r.now, list, nil)
	must.Nil(t, l.c.Report(r.now, &Report{Targets: after.Sequence}).Targets, must.Sprint("a list that is older than the answer"))
}
