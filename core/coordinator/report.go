package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/targetlimit"
)

// Report handles the report of a gateway or storage VM and returns the reply. A VM that
// is not the leader replies with its applied state, which is committed but may be out of
// date.
func (c *Coordinator) Report(now time.Time, r *Report) *View {
	status := c.raft.Status()
	view := &View{Authoritative: c.authoritative(now), Coordinators: c.addresses(status.Members)}
	if status.Leader != "" {
		view.Leader = VMAddress(status.Leader)
	}
	if c.state.Document.Version > r.Document {
		if len(c.state.Document.Raw) <= maxReplyDocument {
			view.Document = &c.state.Document
		} else {
			view.NewerDocument = c.state.Document.Version
		}
	}
	if c.state.Stores != nil && c.state.Stores.Epoch > r.Stores {
		view.Stores = c.state.Stores
	}
	if r.Gateway {
		view.Evacuations = c.newerEvacuations(r.Evacuations)
	}
	view.Regional, view.LacksSet = c.newerRegionalSets(r), c.lacksSetOf(r.Store)
	view.Allowances.Gateways = c.state.Gateways
	c.recordDepartures(now, r.Leaving)
	c.recordCold(now, r.Cold)
	if c.targetsUsable(now) {
		view.TargetsCurrent, view.TargetsAge = c.listIsCurrent(now), now.Sub(c.listedAt)
		if c.targets.Sequence != r.Targets {
			view.Targets = c.targets
		}
	}
	if !view.Authoritative {
		return view
	}
	if r.Store != nil {
		c.recordStore(now, *r.Store)
	}
	if r.Gateway {
		c.recordGatewayProcess(r.Process)
		c.constraintReported = c.constraintReported || r.Constrained
		c.countTargets()
		view.Allowances = c.fleet.Report(now, r.Process, r.Counts)
		c.logAllowances(now)
		c.logMemory(now)
		c.crashCounter.Report(now, r.Process, r.Crashes)
		c.crashCounter.Served(r.Served)
		lists := c.crashCounter.Lists(now)
		view.Quarantined, view.Suspected, view.Cleared = lists.Quarantined, lists.Suspected, lists.Cleared
		for _, q := range lists.Begun {
			c.event("a request that crashes targets is quarantined", map[string]any{"fingerprint": q.Fingerprint, "crashes": q.Crashes, "for": q.Duration})
		}
		view.Limits = c.grantPermits(now, r.Limits)
		view.Peers = c.gateways.Report(now, r.Reach)
	}
	return view
}

// ReadDocument returns a part of the newest applied document.
func (c *Coordinator) ReadDocument(r *ReadDocument) *DocumentPart {
	raw := c.state.Document.Raw
	part := &DocumentPart{Version: c.state.Document.Version, Size: len(raw), Offset: r.Offset}
	if r.Version == part.Version && r.Offset >= 0 && r.Offset < len(raw) {
		part.Data = raw[r.Offset:min(r.Offset+documentPartBytes, len(raw))]
	}
	return part
}

// grantPermits handles what a gateway reports of targets that limit their requests.
func (c *Coordinator) grantPermits(now time.Time, r targetlimit.Report) targetlimit.Grant {
	before := c.limits.Limited()
	grant := c.limits.Report(now, r, c.candidates(r), c.fleet.ReportingShare())
	if n := c.limits.Limited(); n != before {
		c.event("the number of targets that limit their requests changed", map[string]any{"targets": n})
	}
	return grant
}

// candidates returns the targets for the requests of a gateway that wants permits.
func (c *Coordinator) candidates(r targetlimit.Report) []targetlimit.Candidate {
	if len(r.Wanted) == 0 || c.targets == nil {
		return nil
	}
	gateway := domain.Location{DataCentre: r.DataCentre, Region: r.Region}
	var out []targetlimit.Candidate
	for _, t := range c.targets.Targets {
		if t.Leaving || c.evacuated(t.DataCentre) {
			continue
		}
		distance := gateway.DistanceTo(domain.Location{DataCentre: t.DataCentre, Region: t.Region})
		out = append(out, targetlimit.Candidate{Target: t.ID, Service: t.Service, Distance: int(distance)})
	}
	return out
}

// logAllowances records accounts above their limit, and what a new leader took over.
func (c *Coordinator) logAllowances(now time.Time) {
	for _, o := range c.fleet.Overdrafts() {
		c.event("an account was admitted above its limit", map[string]any{"account": o.Account, "level": o.Level, "rate": o.Limit.RatePerSecond, "burst": o.Limit.Burst})
	}
	if t, done := c.fleet.Takeover(now); done {
		c.event("the counts of allowances were taken over", map[string]any{"gateways": t.Gateways, "unanswered": t.Unanswered, "adopted": t.Adopted, "assumed": t.Assumed})
	}
}

// targetsUsable reports whether this VM may distribute its list of targets. The leader
// may distribute a list of any age, because an old list is better than none while the
// platform does not answer. Without a leader the list must be recent. It must not be
// empty either, because the platform fills it only some time after a start.
func (c *Coordinator) targetsUsable(now time.Time) bool {
	switch {
	case c.targets == nil:
		return false
	case c.leading:
		return true
	default:
		return c.listsTargets() && c.listIsCurrent(now) && len(c.targets.Targets) > 0
	}
}

// listIsCurrent reports whether this VM has read the list of targets lately.
func (c *Coordinator) listIsCurrent(now time.Time) bool { return now.Sub(c.listedAt) <= listMaxAge }

func (c *Coordinator) addresses(m raft.Members) []string {
	var out []string
	for _, vm := range slices.Concat(m.Voters, m.Learners) {
		out = append(out, VMAddress(vm))
	}
	return out
}

// recordGatewayProcess records the process that runs at an address. When it replaces an
// earlier process, the counts of the earlier one are removed, because that process
// admits nothing more.
func (c *Coordinator) recordGatewayProcess(process string) {
	address, _, _ := strings.Cut(process, "/")
	if previous, ok := c.gatewayProcesses[address]; ok && previous != process {
		c.fleet.Remove(previous)
	}
	c.gatewayProcesses[address] = process
}

// recordStore records the report of a storage VM. The first one of a disk ends the reports of another
// disk of the VM, which is lost.
func (c *Coordinator) recordStore(now time.Time, s StoreStatus) {
	if _, known := c.stores[s.ID]; !known {
		c.event("storage VM reports", map[string]any{"store": s.ID, "name": s.Name, "complete": s.Complete, "new": s.New})
		maps.DeleteFunc(c.stores, func(id quorum.StoreID, _ *storeReport) bool { return id.Address() == s.ID.Address() })
	}
	c.stores[s.ID] = &storeReport{StoreStatus: s, receivedAt: now}
}

// proposeGatewayCount proposes the number of gateways when it differs from the recorded
// one by more than gatewayCountTolerance.
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

// Join accepts the request of a coordinator to become a learner. The next repair adds
// it.
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

// WantsToJoin reports whether this VM is fenced, or neither a voter nor a learner.
func (c *Coordinator) WantsToJoin() bool {
	status := c.raft.Status()
	return status.Fenced || !slices.Contains(slices.Concat(status.Members.Voters, status.Members.Learners), c.cfg.Self)
}

// TargetsListed handles the result of a read of the platform's list of targets that began at
// readAt. On an error the earlier list stays in force.
func (c *Coordinator) TargetsListed(now, readAt time.Time, list []balance.Target, err error) {
	c.listing = false
	if err != nil {
		c.event("the list of targets was not read; the earlier one stays in force", map[string]any{"error": err.Error()})
		return
	}
	if readAt.Before(c.listedAt) {
		return // overtaken by a read that began later
	}
	c.listedAt, c.read = readAt, list
	c.versions.Listed(now, readAt, balance.Origins(list))
	c.publishTargets(now)
}

// recordDepartures marks the targets that said that they leave, for all gateways.
func (c *Coordinator) recordDepartures(now time.Time, leaving []domain.Target) {
	changed := false
	for _, id := range leaving {
		if i := slices.IndexFunc(c.read, func(t balance.Target) bool { return t.ID == id }); i >= 0 && !c.read[i].Leaving {
			changed = c.departures.Observe(now, c.read[i]) || changed
		}
	}
	if changed {
		c.event("targets say that they leave", map[string]any{"targets": leaving})
		c.publishTargets(now)
	}
}

// publishTargets gives the list a new sequence number if gateways must know of a change.
func (c *Coordinator) publishTargets(now time.Time) {
	list := c.coldReports.Mark(now, c.departures.Mark(now, c.read, c.listIsCurrent(now)))
	left, complete := c.versions.Former(now)
	former := slices.SortedFunc(maps.Keys(left), origin.Compare)
	if c.targets != nil && slices.Equal(c.targets.Targets, list) && slices.Equal(c.targets.Former, former) && c.targets.Complete == complete {
		return
	}
	c.listSequence++
	c.targets = &TargetList{Sequence: c.listSequence, Targets: list, Former: former, Complete: complete}
	c.event("the list of targets changed", map[string]any{"targets": len(list), "former_versions": len(former), "sequence": c.listSequence})
}
