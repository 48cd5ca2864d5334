package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// Report answers a gateway or a storage VM. A VM that is not the leader answers
// with what it has applied, which is decided but may not be the newest.
func (c *Coordinator) Report(now time.Time, r *Report) *View {
	status := c.raft.Status()
	view := &View{Authoritative: c.authoritative(now), Coordinators: c.addresses(status.Members)}
	if status.Leader != "" {
		view.Leader = VMAddress(status.Leader)
	}
	if c.state.Document.Version > r.Document {
		view.Document = &c.state.Document
	}
	if c.state.Stores != nil && c.state.Stores.Epoch > r.Stores {
		view.Stores = c.state.Stores
	}
	if !view.Authoritative {
		return view
	}
	if c.targets != nil && c.targets.Sequence != r.Targets {
		view.Targets = c.targets
	}
	if r.Store != nil {
		c.seeStore(now, *r.Store)
	}
	if r.Gateway {
		c.seeGateway(r.Process)
		view.Allowances = c.fleet.Report(now, r.Process, r.Counts)
	}
	return view
}

func (c *Coordinator) addresses(m raft.Members) []string {
	var out []string
	for _, vm := range slices.Concat(m.Voters, m.Learners) {
		out = append(out, VMAddress(vm))
	}
	return out
}

// seeGateway notices that a VM runs a new process, whose predecessor admits
// nothing any more.
func (c *Coordinator) seeGateway(process string) {
	address, _, _ := strings.Cut(process, "/")
	if before, ok := c.gateways[address]; ok && before != process {
		c.fleet.Forget(before)
	}
	c.gateways[address] = process
}

func (c *Coordinator) seeStore(now time.Time, s StoreStatus) {
	if _, known := c.stores[s.ID]; !known {
		c.event("storage VM reports", map[string]any{"store": s.ID, "name": s.Name, "complete": s.Complete})
	}
	c.stores[s.ID] = &storeSeen{StoreStatus: s, seen: now}
}

// Join admits a coordinator as a learner. The set changes in the next repair.
func (c *Coordinator) Join(now time.Time, j *Join) *JoinReply {
	status := c.raft.Status()
	reply := &JoinReply{}
	if status.Leader != "" {
		reply.Leader = VMAddress(status.Leader)
	}
	if c.authoritative(now) {
		c.joiners[j.VM] = now
		reply.Accepted = true
	}
	return reply
}

// WantsToJoin says that this VM is neither a voter nor a learner.
func (c *Coordinator) WantsToJoin() bool {
	status := c.raft.Status()
	return status.Fenced || !slices.Contains(slices.Concat(status.Members.Voters, status.Members.Learners), c.cfg.Self)
}

// Self returns the identity of this VM.
func (c *Coordinator) Self() domain.VM { return c.cfg.Self }

// Status describes the voter for logs and metrics.
func (c *Coordinator) Status() raft.Status { return c.raft.Status() }

// TargetsListed takes the platform's list. On an error the earlier list stays in
// force.
func (c *Coordinator) TargetsListed(list []balance.Target, err error) {
	c.listing = false
	if err != nil {
		c.event("the list of targets was not read; the earlier one stays in force", map[string]any{"error": err.Error()})
		return
	}
	if !c.leading || (c.targets != nil && slices.Equal(c.targets.Targets, list)) {
		return
	}
	c.sequence++
	c.targets = &TargetList{Sequence: c.sequence, Targets: list}
	c.event("the list of targets changed", map[string]any{"targets": len(list), "sequence": c.sequence})
}
