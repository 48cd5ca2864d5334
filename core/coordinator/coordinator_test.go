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
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
)

// Guards against an acknowledged manifest that is lost or older when voters lose
// their disks one after the other, come back at the same or at another address,
// and no operator helps.
func TestVotersAreReplaced(t *testing.T) {
	for seed := range uint64(10) {
		r := newRig(t, seed)
		r.run(2 * time.Second)
		r.put(1)
		// One VM loses its disk and comes back at its address.
		r.vms[address(0)].down = true
		r.run(time.Second)
		r.restart(address(0), "second")
		r.put(2)
		r.run(4 * time.Second)
		// Another one is gone for good; a VM with another address replaces it.
		r.vms[address(1)].down = true
		r.start(Identity{VM: NewVM(address(5), "x")}, r.vms[address(5)].restoredOrEmpty())
		r.put(3)
		r.run(5 * time.Second)
		// Now the third one fails as well.
		r.vms[address(2)].down = true
		r.put(4)
		must.Eq(t, 4, r.read(), must.Sprintf("seed %d", seed))
	}
}

// Guards against a cut-off or thawed leader that answers reads with an older
// version.
func TestStaleLeaderRejectsReads(t *testing.T) {
	r := newRig(t, 1)
	r.run(2 * time.Second)
	r.put(1)
	old := r.leader()
	oldAddress := VMAddress(old.identity.VM)
	// The leader is frozen: it does not step while the others elect another one.
	frozen := r.vms[oldAddress]
	delete(r.vms, oldAddress)
	r.run(3 * time.Second)
	r.put(2)
	r.vms[oldAddress] = frozen
	_, err := frozen.c.Read(r.now)
	must.Error(t, err)
	r.run(time.Second)
	must.Eq(t, 2, r.read())
	// A cut-off leader refuses before another one can be elected.
	cut := r.leader()
	r.partitioned[VMAddress(cut.identity.VM)] = true
	r.run(5 * time.Second)
	_, err = cut.c.Read(r.now)
	must.Error(t, err)
	r.put(3)
}

// Guards against a refused resend and against an older or equal version that
// replaces the newest one.
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
	// Two operators race: the older change is proposed while the newer one is not
	// decided yet.
	for _, version := range []manifest.Version{9, 8} {
		ticket, err := l.c.Put(r.now, manifest.Document{Version: version, Raw: fmt.Append(nil, version)})
		must.NoError(t, err)
		must.NotEq(t, 0, ticket)
	}
	r.run(time.Second)
	must.Eq(t, 9, r.read())
}

// Guards against state that is lost in a restart of all VMs after the log was
// replaced by a snapshot.
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

// Guards against a storage set that stays without a lost member, that counts a
// wiped disk as the member that it was, or that exchanges two members at once.
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
	// A spare takes over from a retired member, and not before an operator asks.
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
	// Three are left, so none may be taken away.
	_, err = r.leader().c.Retire(r.now, "s2")
	must.True(t, errors.Is(err, ErrTooFewStores))
	_, err = r.leader().c.Retire(r.now, "nobody")
	must.True(t, errors.Is(err, ErrUnknownStore))
}

// Guards against a VM that is taken away as empty while its coordinator still has
// a vote: the next loss would then leave no majority. The leader's VM retires as
// well as a follower's.
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
		// The VM is taken away, and another one is lost.
		delete(r.vms, address(retired))
		r.put(2)
		r.vms[address((retired+1)%3)].down = true
		r.put(3)
		must.Eq(t, 3, r.read(), must.Sprintf("seed %d", seed))
	}
}

// Guards against a second exchange while a joining store copies: it could remove
// the only copy of a record.
func TestStoresAreReplacedOneByOne(t *testing.T) {
	r := newRig(t, 6)
	for i, zone := range []string{"a", "b", "c"} {
		r.stores = append(r.stores, storeStatus(fmt.Sprintf("s%d", i), "1", zone))
	}
	r.run(3 * time.Second)
	r.copying["s0/2"] = true
	r.stores[0] = storeStatus("s0", "2", "a")
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	r.stores[1] = storeStatus("s1", "2", "b")
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/1", "s2/1")
	r.copying["s0/2"] = false
	r.run(3 * time.Second)
	r.expectMembers("s0/2", "s1/2", "s2/1")
}

func (r *rig) expectMembers(want ...quorum.StoreID) {
	ids := memberIDs(r.leader().c.state.Stores)
	slices.Sort(ids)
	must.Eq(r.t, want, ids)
}

// Guards against gateways without targets while the platform does not answer the
// leader, and against an old or empty list of a VM that knows no leader.
func TestTargetListAge(t *testing.T) {
	r := newRig(t, 5)
	r.run(2 * time.Second)
	list := []balance.Target{{ID: "t"}}
	l := r.leader()
	l.c.TargetsListed(r.now, list, nil)
	r.run(5 * time.Second)
	l.c.TargetsListed(r.now, nil, errors.New("the platform does not answer"))
	must.NotNil(t, l.c.Report(r.now, &Report{}).Targets)
	for _, v := range r.vms {
		if v != l {
			r.partitioned[VMAddress(v.identity.VM)] = true
		}
	}
	r.run(3 * time.Second)
	for _, v := range r.vms {
		v.c.TargetsListed(r.now, list, nil)
		must.NotNil(t, v.c.Report(r.now, &Report{}).Targets)
		r.run(listMaxAge + time.Second)
		must.Nil(t, v.c.Report(r.now, &Report{}).Targets)
	}
}
