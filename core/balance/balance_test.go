package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

func newBalancer(targets ...Target) *Balancer {
	b := New(Location{DataCentre: "a", Region: "north"}, rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(targets)
	return b
}

func target(id domain.Target, dataCentre domain.DataCentre, region domain.Region) Target {
	return Target{ID: id, Address: string(id), Service: "s", DataCentre: dataCentre, Region: region, Slots: 4}
}

// Guards against new requests for a target that is leaving, that has failed, or whose
// address another process uses.
func TestUnavailableTargetIsNotPicked(t *testing.T) {
	now := time.Unix(1000, 0)
	near, far := target("near", "a", "north"), target("far", "c", "south")
	b := newBalancer(near, far)
	picked, _ := b.Pick(now, Request{Service: "s"})
	must.Eq(t, "near", picked.ID)
	near.Leaving = true
	b.SetTargets([]Target{near, far})
	for range 4 {
		picked, _ = b.Pick(now, Request{Service: "s"})
		must.Eq(t, "far", picked.ID)
	}
	near.Leaving = false
	b.SetTargets([]Target{near, far})
	b.Done(now, "near", Failed, nil)
	picked, _ = b.Pick(now, Request{Service: "s"})
	must.Eq(t, "far", picked.ID)
	picked, _ = b.Pick(now.Add(maxBackoff), Request{Service: "s"})
	must.Eq(t, "near", picked.ID)
	b.Done(now, "near", Replaced, nil)
	picked, _ = b.Pick(now.Add(maxBackoff), Request{Service: "s"})
	must.Eq(t, "far", picked.ID)
	// A target may return under its former name and address.
	picked, _ = b.Pick(now.Add(replacedBackoff), Request{Service: "s"})
	must.Eq(t, "near", picked.ID)
}

// Guards against refusals while a target has capacity, and against more requests at one
// target than its limit.
func TestFullTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(target("t1", "a", "north"), target("t2", "b", "north"))
	for range 12 {
		_, refusal := b.Pick(now, Request{Service: "s"})
		must.Eq(t, "", refusal)
	}
	_, refusal := b.Pick(now, Request{Service: "s"})
	must.Eq(t, AllFull, refusal)
	b.Done(now, "t1", Served, nil)
	picked, _ := b.Pick(now, Request{Service: "s"})
	must.Eq(t, "t1", picked.ID)
	_, refusal = b.Pick(now, Request{Service: "none"})
	must.Eq(t, NoTarget, refusal)
	_, refusal = newBalancer(target("t", "a", "north")).Pick(now, Request{Service: "s", ConnectionCap: 1})
	must.Eq(t, "", refusal)
}

// Guards against prompts that are processed again although a target has them cached, and
// against a target that receives all requests because it has one part cached.
func TestPrefixCacheAffinity(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(target("t1", "a", "north"), target("t2", "a", "north"))
	prompt := []Part{{ID: "shared", Tokens: 500}, {ID: "session", Tokens: 3000}}
	first, _ := b.Pick(now, Request{Service: "s", Parts: prompt})
	b.Done(now, first.ID, Served, nil)
	for i := range 20 {
		b.Pick(now, Request{Service: "s", Parts: []Part{{ID: "shared", Tokens: 500}, {ID: fmt.Sprint(i), Tokens: 10}}})
		if i%4 == 3 {
			for _, id := range []domain.Target{"t1", "t2"} {
				for range 4 {
					b.Done(now, id, Served, nil)
				}
			}
		}
	}
	again, _ := b.Pick(now, Request{Service: "s", Parts: prompt})
	must.Eq(t, first.ID, again.ID)
}
