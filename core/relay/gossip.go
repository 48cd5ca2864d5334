package relay

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// gossipFanOut is the number of random peers to which a VM pushes a new key, and
// with which it compares its set each second. With 2, a key reaches 360 VMs in
// about 12 rounds of pushes; the comparison repairs the few that pushes miss.
const gossipFanOut = 2

// Withdraw adds keys to the withdrawn set and gossips those that are new.
func (r *Relay) Withdraw(_ time.Time, ids ...config.KeyID) Effects {
	var e Effects
	r.mergeWithdrawn(&e, "", ids)
	return e
}

// Withdrawn returns the set of withdrawn keys. Callers must not modify it.
func (r *Relay) Withdrawn() *WithdrawnSet { return &r.withdrawn }

func (r *Relay) mergeWithdrawn(e *Effects, from domain.VM, ids []config.KeyID) {
	added := r.withdrawn.Merge(ids...)
	if len(added) == 0 {
		return
	}
	e.Withdrawn = append(e.Withdrawn, added...)
	m := &WithdrawnKeys{Keys: added}
	for _, peer := range r.randomPeers(from) {
		e.send(peer, m)
	}
}

func (r *Relay) randomPeers(except domain.VM) []domain.VM {
	var peers []domain.VM
	for range 4 * gossipFanOut {
		if len(r.nodes) == 0 || len(peers) == gossipFanOut {
			break
		}
		vm := r.nodes[r.cfg.Rand.IntN(len(r.nodes))].VM
		if vm != r.cfg.Self && vm != except && !slices.Contains(peers, vm) {
			peers = append(peers, vm)
		}
	}
	return peers
}

func (r *Relay) tickGossip(e *Effects) {
	m := &WithdrawnDigest{r.withdrawn.Digest()}
	for _, peer := range r.randomPeers("") {
		e.send(peer, m)
	}
}

func (r *Relay) stepDigest(e *Effects, from domain.VM, m *WithdrawnDigest) {
	if m.Digest != r.withdrawn.Digest() {
		e.send(from, &WithdrawnBuckets{r.withdrawn.Sums()})
	}
}

func (r *Relay) stepBuckets(e *Effects, from domain.VM, m *WithdrawnBuckets) {
	keys, differ := r.withdrawn.Delta(m.Sums)
	if len(differ) > 0 {
		e.send(from, &WithdrawnKeys{Keys: keys, Buckets: differ})
	}
}

func (r *Relay) stepKeys(e *Effects, from domain.VM, m *WithdrawnKeys) {
	if len(m.Buckets) > 0 {
		known := r.withdrawn.keysOf(m.Buckets)
		missing := slices.DeleteFunc(known, func(id config.KeyID) bool { return slices.Contains(m.Keys, id) })
		if len(missing) > 0 {
			e.send(from, &WithdrawnKeys{Keys: missing})
		}
	}
	r.mergeWithdrawn(e, from, m.Keys)
}
