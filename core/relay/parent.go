package relay

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// chooseParent selects the parent and subscribes to it if it changed. The parent
// is a voter of the data centre or else the data centre's relay VM, which itself
// follows a voter. All VMs of a data centre except its relay VM choose the same
// parent, so that one VM can summarise the whole data centre.
func (r *Relay) chooseParent(e *Effects, now time.Time) {
	if len(r.nodes) == 0 || r.self.Voter {
		r.parent, r.hops = "", 0
		return
	}
	best := r.parentCandidate(now)
	if best == "" && len(r.avoidUntil) > 0 {
		clear(r.avoidUntil)
		best = r.parentCandidate(now)
	}
	if best == r.parent || best == "" {
		return
	}
	r.parent, r.parentLastSeen, r.parentLastIndex, r.requestedAt = best, now, 0, now
	e.send(best, &Follow{r.applied})
}

// parentCandidate returns the preferred parent among the VMs that are not
// avoided, or "" if there is none.
func (r *Relay) parentCandidate(now time.Time) domain.VM {
	local := func(n Node) bool { return n.DataCentre == r.self.DataCentre }
	if vm := r.highestRanked(now, func(n Node) bool { return n.Voter && local(n) }); vm != "" {
		return vm
	}
	relay := r.highestRanked(now, func(n Node) bool { return !n.Voter && local(n) })
	if relay != r.cfg.Self {
		return relay
	}
	// A voter of the same region avoids traffic on the billed link between
	// regions.
	if vm := r.highestRanked(now, func(n Node) bool { return n.Voter && n.Region == r.self.Region }); vm != "" {
		return vm
	}
	return r.highestRanked(now, func(n Node) bool { return n.Voter })
}

// highestRanked returns the VM with the highest rendezvous hash among those that
// match and are not avoided, or "". Rendezvous hashing keeps most choices when the
// list of live VMs changes.
func (r *Relay) highestRanked(now time.Time, match func(Node) bool) domain.VM {
	var best domain.VM
	var top uint64
	for _, n := range r.nodes {
		if !match(n) || now.Before(r.avoidUntil[n.VM]) {
			continue
		}
		if h := domain.Hash64("relay", string(r.self.DataCentre), string(n.VM)); best == "" || h > top {
			best, top = n.VM, h
		}
	}
	return best
}

// dropParent replaces a parent that timed out or is part of a cycle, and avoids
// it for parentAvoidDuration.
func (r *Relay) dropParent(e *Effects, now time.Time) {
	r.avoidUntil[r.parent] = now.Add(parentAvoidDuration)
	r.parent = ""
	r.chooseParent(e, now)
}
