package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
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
	view.Allowances.Gateways = c.state.Gateways
	if c.targetsUsable(now) && c.targets.Sequence != r.Targets {
		view.Targets = c.targets
	}
	if !view.Authoritative {
		return view
	}
	if r.Store != nil {
		c.recordStore(now, *r.Store)
	}
	if r.Gateway {
		c.recordGatewayProcess(r.Process)
		view.Allowances = c.fleet.Report(now, r.Process, r.Counts)
		c.census.Report(now, r.Crashes)
		view.Quarantined = c.census.Quarantined(now)
	}
	return view
}

// targetsUsable says whether this VM's list of targets is one to use. The leader's
// is, however old: while the platform does not answer, an old list is better than
// none. Without a leader a list counts while it is fresh, and an empty one says
// little, because the platform fills it after a start.
func (c *Coordinator) targetsUsable(now time.Time) bool {
	switch {
	case c.targets == nil:
		return false
	case c.leading:
		return true
	default:
		return c.listsTargets() && now.Sub(c.listedAt) <= listMaxAge && len(c.targets.Targets) > 0
	}
}

func (c *Coordinator) addresses(m raft.Members) []string {
	var out []string
	for _, vm := range slices.Concat(m.Voters, m.Learners) {
		out = append(out, VMAddress(vm))
	}
	return out
}

// recordGatewayProcess notices that a VM runs a new process, whose predecessor admits
// nothing any more.
func (c *Coordinator) recordGatewayProcess(process string) {
	address, _, _ := strings.Cut(process, "/")
	if previous, ok := c.gatewayProcesses[address]; ok && previous != process {
		c.fleet.Forget(previous)
	}
	c.gatewayProcesses[address] = process
}

func (c *Coordinator) recordStore(now time.Time, s StoreStatus) {
	if _, known := c.stores[s.ID]; !known {
		c.event("storage VM reports", map[string]any{"store": s.ID, "name": s.Name, "complete": s.Complete})
	}
	c.stores[s.ID] = &storeReport{StoreStatus: s, receivedAt: now}
}

// proposeGatewayCount keeps about the number of gateways in the state.
func (c *Coordinator) proposeGatewayCount(now time.Time) {
	count := c.fleet.Gateways()
	change := float64(count - c.state.Gateways)
	if count == 0 || !c.authoritative(now) || c.hasUnappliedEntries() || now.Sub(c.leaderSince) < gatewayCountDelay ||
		max(change, -change) <= gatewayCountTolerance*float64(c.state.Gateways) {
		return
	}
	if _, err := c.propose(now, &PutGateways{Gateways: count}); err != nil {
		c.event("the number of gateways was not recorded", map[string]any{"error": err.Error()})
	}
}

// Join admits a coordinator as a learner. The set changes in the next repair.
func (c *Coordinator) Join(now time.Time, j *Join) *JoinReply {
	status := c.raft.Status()
	reply := &JoinReply{}
	if status.Leader != "" {
		reply.Leader = VMAddress(status.Leader)
	}
	if c.authoritative(now) {
		c.joinRequests[j.VM] = now
		reply.Accepted = true
	}
	return reply
}

// WantsToJoin says that this VM is neither a voter nor a learner.
func (c *Coordinator) WantsToJoin() bool {
	status := c.raft.Status()
	return status.Fenced || !slices.Contains(slices.Concat(status.Members.Voters, status.Members.Learners), c.cfg.Self)
}

// TargetsListed takes the platform's list. On an error the earlier list stays in
// force.
func (c *Coordinator) TargetsListed(now time.Time, list []balance.Target, err error) {
	c.listing = false
	if err != nil {
		c.event("the list of targets was not read; the earlier one stays in force", map[string]any{"error": err.Error()})
		return
	}
	c.listedAt = now
	if c.targets != nil && slices.Equal(c.targets.Targets, list) {
		return
	}
	c.listSequence++
	c.targets = &TargetList{Sequence: c.listSequence, Targets: list}
	c.event("the list of targets changed", map[string]any{"targets": len(list), "sequence": c.listSequence})
}
