package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/quorum"
)

// Guards against a VM with a new disk that answers for the lost one as well (LOST in the second
// review). Turns are on stores 0 and 1; store 0 is frozen, and store 1 has lost its disk. Coordinators
// of an earlier build gave the seat of store 0 to the new disk of store 1. Store 2 must not conclude
// that it holds every turn, the new disk must not count as two members, and no turn may pass for
// absent.
func TestOtherDiskDoesNotAnswerForMember(t *testing.T) {
	r := newRig(t)
	refusal, _ := r.serve(r.startGateway(0), turnRequest("1", ""))
	must.Nil(t, refusal)
	lost := r.set.Members[1].ID
	r.network.setCut(storeAddress(0), true)
	joined := r.startDisk(1, "new", "b", "north")
	r.set = r.set.Replace(r.set.Members[0].ID, joined)
	must.True(t, r.set.SharesAddress(joined))
	for _, i := range []int{1, 2} {
		r.network.stores[storeAddress(i)].Apply(&coordinator.View{Stores: r.set})
	}
	g := r.startGateway(2)
	ended := 0
	must.True(t, eventually(func() bool {
		refusal, _ := r.serve(g, turnRequest("2", "1"))
		must.NotNil(t, refusal)
		must.Eq(t, StorageUnavailable, refusal.Kind)
		ended++
		return ended == 20 && g.view.Load().suspects[lost]
	}))
	for i, store := range []int{1, 2} {
		report, err := r.network.stores[storeAddress(store)].Report(t.Context())
		must.NoError(t, err)
		must.Less(t, r.set.Epoch, report.Store.Whole, must.Sprint("store ", store))
		must.Eq(t, i == 1, report.Store.Complete, must.Sprint("store ", store))
	}
}

// Guards against a turn that is acknowledged on one disk, which answers at the address of two
// members.
func TestOneDiskIsNoMajority(t *testing.T) {
	r := newRig(t)
	other := r.startDisk(1, "new", "b", "north")
	// The new disk is complete: all members of a first set are.
	r.set = &quorum.Set{Epoch: 1, Members: []quorum.Member{r.set.Members[1], r.set.Members[2], other}}
	r.network.stores[storeAddress(1)].Apply(&coordinator.View{Stores: r.set})
	r.network.setCut(storeAddress(2), true)
	refusal, reply := r.serve(r.startGateway(1), turnRequest("1", ""))
	must.True(t, refusal != nil || !reply.ended)
}

// Guards against turns that are lost, or answered 503 for ever, when a VM loses its disk while the
// successor of a frozen one still copies. The frozen VM comes back with the turns and without its
// seat, and only it and store 2 are left to copy from.
func TestJoinedStoreCopiesFromFormerMember(t *testing.T) {
	r := newRig(t)
	refusal, _ := r.serve(r.startGateway(0), turnRequest("1", "")) // on stores 0 and 1
	must.Nil(t, refusal)
	apply := func(stores ...int) {
		for _, i := range stores {
			r.network.stores[storeAddress(i)].Apply(&coordinator.View{Stores: r.set})
		}
	}
	report := func(i int) *coordinator.StoreStatus {
		out, err := r.network.stores[storeAddress(i)].Report(t.Context())
		must.NoError(t, err)
		return out.Store
	}
	r.network.setCut(storeAddress(0), true)
	r.network.setCut(storeAddress(7)+" "+storeAddress(1), true)
	r.set = r.set.Replace(r.set.Members[0].ID, r.startStore(7, "a", "north"))
	apply(1, 2, 7)
	must.True(t, eventually(func() bool { return report(2).Epoch == 2 }))
	r.set = r.set.Replace(r.set.Members[0].ID, r.startDisk(1, "new", "b", "north"))
	r.network.setCut(storeAddress(7)+" "+storeAddress(1), false)
	apply(1, 2, 7)
	must.True(t, eventually(func() bool { return report(7).Epoch == 3 && report(1).Epoch == 3 }))
	must.False(t, report(7).Complete)
	g := r.startGateway(2)
	refusal, _ = r.serve(g, turnRequest("early", "1"))
	must.Eq(t, StorageUnavailable, refusal.Kind)

	r.network.setCut(storeAddress(0), false)
	for _, i := range []int{7, 1} {
		must.True(t, eventually(func() bool { return report(i).Complete }), must.Sprint("store ", i))
	}
	r.network.setCut(storeAddress(0), true)
	refusal, reply := r.serve(g, turnRequest("2", "1"))
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	must.Eq(t, "[1]x\n[2]", r.targets.bodies()[1])
}
