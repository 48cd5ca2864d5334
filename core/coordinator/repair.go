package coordinator

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
)

// setSize returns the intended number of voters and of storage VMs in a set. A majority
// remains when Tolerance of them fail.
func (c *Coordinator) setSize() int { return 2*c.cfg.Tolerance + 1 }

// repairVoters proposes at most one change of the voters and learners.
func (c *Coordinator) repairVoters(now time.Time) {
	change, ok := c.voterChange(now)
	switch {
	case !ok:
		return
	case change.VM == c.cfg.Self:
		// A leader cannot remove itself, so the next leader does it.
		c.event("the VM of the leader retires; leadership is handed over", map[string]any{"vm": c.cfg.Self})
		c.TransferLeadership(now)
		return
	}
	_, err := c.raft.ProposeVoters(now, change)
	switch {
	case err == nil:
		c.event("voter change proposed", map[string]any{"kind": int(change.Kind), "vm": change.VM})
	case errors.Is(err, raft.ErrChangePending) || errors.Is(err, raft.ErrNotCaughtUp):
		// The next repair retries the change.
	default:
		c.event("voter change refused", map[string]any{"vm": change.VM, "error": err.Error()})
	}
}

// voterChange returns the next change of the voters and learners, if one is needed.
func (c *Coordinator) voterChange(now time.Time) (raft.VoterChange, bool) {
	m := c.raft.Status().Members
	for vm, requestedAt := range c.joinRequests {
		switch {
		case now.Sub(requestedAt) > joinRequestTTL || c.state.retiredHost(vm):
			delete(c.joinRequests, vm)
		case !slices.Contains(m.Voters, vm) && !slices.Contains(m.Learners, vm):
			c.lastContact[vm] = now
			return raft.VoterChange{Kind: raft.AddLearner, VM: vm}, true
		}
	}
	lost, hasLost := c.voterToReplace(now, m)
	if len(m.Voters) > c.setSize() && hasLost {
		return raft.VoterChange{Kind: raft.Remove, VM: lost}, true
	}
	if len(m.Voters) < c.setSize() || (len(m.Voters) == c.setSize() && hasLost) {
		if learner, ok := c.liveLearner(now, m); ok {
			return raft.VoterChange{Kind: raft.Promote, VM: learner}, true
		}
	}
	for _, vm := range m.Learners {
		if now.Sub(c.lastContact[vm]) > learnerRemovedAfter || c.state.retiredHost(vm) {
			return raft.VoterChange{Kind: raft.Remove, VM: vm}, true
		}
	}
	return raft.VoterChange{}, false
}

// voterToReplace returns a voter that sends no messages, whose VM restarted with another
// disk, or whose VM is retired. A retired one has the lowest precedence, because it still
// votes.
func (c *Coordinator) voterToReplace(now time.Time, m raft.Members) (domain.VM, bool) {
	for _, vm := range m.Voters {
		if vm == c.cfg.Self {
			continue
		}
		sameVM := func(other domain.VM) bool { return other != vm && VMAddress(other) == VMAddress(vm) }
		if now.Sub(c.lastContact[vm]) > voterLostAfter || slices.ContainsFunc(m.Learners, sameVM) {
			return vm, true
		}
	}
	i := slices.IndexFunc(m.Voters, c.state.retiredHost)
	if i < 0 {
		return "", false
	}
	return m.Voters[i], true
}

func (c *Coordinator) liveLearner(now time.Time, m raft.Members) (domain.VM, bool) {
	for _, vm := range m.Learners {
		if now.Sub(c.lastContact[vm]) < voterLostAfter && !c.state.retiredHost(vm) {
			return vm, true
		}
	}
	return "", false
}

// repairStores proposes at most one change of a storage set. It forms the first set; later it
// replaces one lost or retired member by a spare storage VM, provided that all other members are
// complete.
func (c *Coordinator) repairStores(now time.Time) {
	if !c.authoritative(now) || c.hasUnappliedEntries() {
		return
	}
	for _, scope := range c.scopes() {
		set := c.nextSet(now, scope)
		if set == nil {
			continue
		}
		command := &PutStores{Set: set}
		if scope != quorum.Global {
			command = &PutStores{Set: &quorum.Set{}, Regional: set}
		}
		if _, err := c.propose(now, command); err != nil {
			c.event("storage set not proposed", map[string]any{"region": scope, "error": err.Error()})
			return
		}
		c.event("storage set proposed", map[string]any{"region": scope, "epoch": set.Epoch, "members": memberIDs(set)})
		return
	}
}

// hasUnappliedEntries reports whether the log holds entries that are not yet applied. One
// of them may be a set.
func (c *Coordinator) hasUnappliedEntries() bool { return c.raft.Status().Last > c.applied }

// nextSet returns the next set of a scope, or nil if no change is due.
func (c *Coordinator) nextSet(now time.Time, scope quorum.Scope) *quorum.Set {
	set := c.state.set(scope)
	if scope != quorum.Global {
		adopted, exists := c.adoptedSet(now, scope)
		switch {
		case exists:
			return adopted // nil until a storage VM has sent it
		case set == nil:
			return c.firstRegionalSet(now, scope)
		default:
			return c.nextRegionalSet(now, set)
		}
	}
	if set == nil {
		return c.firstSet(now)
	}
	if next := c.replacedMember(now, set); next != nil {
		return next
	}
	return c.withScopes(now, set)
}

// replacedMember returns the next global set with another member, or nil.
func (c *Coordinator) replacedMember(now time.Time, set *quorum.Set) *quorum.Set {
	if len(set.Members) < c.setSize() {
		if added, ok := c.replacementStore(now, set, quorum.Member{}); ok {
			return set.Replace("", added)
		}
	}
	next, _ := c.withReplacement(now, set, c.membersToReplace(now, set))
	return next
}

// withReplacement returns the next set, in which one of the members that have to be replaced is, or
// nil. The second result reports whether there is no VM for one of them.
func (c *Coordinator) withReplacement(now time.Time, set *quorum.Set, members []quorum.Member) (next *quorum.Set, lacksVM bool) {
	for _, old := range members {
		replacement, found := c.replacementStore(now, set, old)
		switch {
		case !found:
			lacksVM = true
		case c.mayReplace(now, set, old):
			return set.Replace(old.ID, replacement), false
		default:
			c.logWaitingSeat(set, old, replacement)
		}
	}
	return nil, lacksVM
}

// waitingSeat identifies a member of a set that is not replaced yet.
type waitingSeat struct {
	scope  quorum.Scope
	epoch  domain.Epoch
	member quorum.StoreID
}

// logWaitingSeat records once for each set that a member keeps its seat, because the other live
// members may lack a record.
func (c *Coordinator) logWaitingSeat(set *quorum.Set, old, replacement quorum.Member) {
	seat := waitingSeat{set.Scope, set.Epoch, old.ID}
	if c.waitingSeats[seat] {
		return
	}
	c.waitingSeats[seat] = true
	c.event("a lost or retired member keeps its seat until the other members hold all records", map[string]any{
		"region": set.Scope, "epoch": set.Epoch, "member": old.ID, "replacement": replacement.ID,
	})
}

func (c *Coordinator) firstSet(now time.Time) *quorum.Set {
	members := c.liveMembers(now, quorum.Global)
	if len(members) == 0 || (len(members) < c.setSize() && now.Sub(c.leaderSince) < firstSetTimeout) {
		return nil
	}
	if len(members) > c.setSize() {
		members = spreadAcrossDataCentres(members, c.setSize())
	}
	return &quorum.Set{Epoch: quorum.FirstEpoch, Members: members, Scopes: c.wantedScopes(now)}
}

// liveMembers returns the live storage VMs that may be members of a set of the scope.
func (c *Coordinator) liveMembers(now time.Time, scope quorum.Scope) []quorum.Member {
	var members []quorum.Member
	for _, s := range c.liveStores(now) {
		if scope.Contains(s.Region) {
			members = append(members, member(s))
		}
	}
	return members
}

func member(s *storeReport) quorum.Member {
	return quorum.Member{ID: s.ID, Name: s.Name, DataCentre: s.DataCentre, Region: s.Region}
}

// spreadAcrossDataCentres selects n members from as many data centres as possible.
func spreadAcrossDataCentres(members []quorum.Member, n int) []quorum.Member {
	var chosen []quorum.Member
	for len(chosen) < n {
		used := map[domain.DataCentre]bool{}
		for _, m := range members {
			isChosen := slices.ContainsFunc(chosen, func(o quorum.Member) bool { return o.ID == m.ID })
			if len(chosen) < n && !isChosen && !used[m.DataCentre] {
				chosen = append(chosen, m)
				used[m.DataCentre] = true
			}
		}
	}
	return chosen
}

func (c *Coordinator) liveStores(now time.Time) []*storeReport {
	var out []*storeReport
	for _, s := range c.stores {
		if now.Sub(s.receivedAt) < storeLostAfter && !c.state.retired(s.Name) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *storeReport) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// replacementStore returns a live storage VM outside of the set that may take the seat of the
// member old. It prefers its successor, then a VM in its data centre, then one in its region. The
// zero member stands for a seat that is added.
func (c *Coordinator) replacementStore(now time.Time, set *quorum.Set, old quorum.Member) (quorum.Member, bool) {
	candidates := slices.DeleteFunc(c.liveStores(now), func(s *storeReport) bool { return !maySucceed(s, set, old) })
	if len(candidates) == 0 {
		return quorum.Member{}, false
	}
	rank := func(s *storeReport) int {
		switch {
		case isSameHost(s.ID, old.ID):
			return 0
		case s.DataCentre == old.DataCentre:
			return 1
		case s.Region == old.Region:
			return 2
		default:
			return 3
		}
	}
	return member(slices.MinFunc(candidates, func(x, y *storeReport) int { return cmp.Compare(rank(x), rank(y)) })), true
}

// maySucceed reports whether a storage VM may take the seat of the member old. A VM on the host of
// a member has lost the disk of this member, so it may take the seat of no other one: the lost disk
// would keep its seat, and the other member would lose the seat with its records.
func maySucceed(s *storeReport, set *quorum.Set, old quorum.Member) bool {
	if !set.Scope.Contains(s.Region) {
		return false
	}
	return !slices.ContainsFunc(set.Members, func(m quorum.Member) bool {
		return s.ID == m.ID || (m.ID != old.ID && isSameHost(s.ID, m.ID))
	})
}

func isSameHost(a, b quorum.StoreID) bool { return hostOf(a.Address()) == hostOf(b.Address()) }

// membersToReplace returns the members that are retired, then those that are lost. Right after an
// election it returns none, because members have not had the time to report.
func (c *Coordinator) membersToReplace(now time.Time, set *quorum.Set) []quorum.Member {
	if now.Sub(c.leaderSince) < storeLostAfter {
		return nil
	}
	var retired, lost []quorum.Member
	for _, m := range set.Members {
		switch {
		case c.state.retired(m.Name):
			retired = append(retired, m)
		case c.isLost(now, set, m):
			lost = append(lost, m)
		}
	}
	return append(retired, lost...)
}

// isLost reports whether a member is to be replaced because it does not report. A VM that
// is only silent keeps its seat for spareReplacesAfter: a copy of all records costs more
// than the wait, and the tolerance covers the silence meanwhile.
func (c *Coordinator) isLost(now time.Time, set *quorum.Set, m quorum.Member) bool {
	lastReport := c.leaderSince
	if s := c.stores[m.ID]; s != nil && set.Scope.Contains(s.Region) {
		lastReport = s.receivedAt
	}
	silence := now.Sub(lastReport)
	if silence <= storeLostAfter {
		return false
	}
	return silence > spareReplacesAfter || slices.ContainsFunc(c.liveStores(now), func(s *storeReport) bool {
		return maySucceed(s, set, m) && (s.New || isSameHost(s.ID, m.ID))
	})
}

// hasLostDisk reports whether the VM of a member reports with another disk.
func (c *Coordinator) hasLostDisk(now time.Time, m quorum.Member) bool {
	return slices.ContainsFunc(c.liveStores(now), func(s *storeReport) bool { return s.ID != m.ID && isSameHost(s.ID, m.ID) })
}

// mayReplace reports whether the member old may lose its seat, by the reports of the others.
func (c *Coordinator) mayReplace(now time.Time, set *quorum.Set, old quorum.Member) bool {
	var others quorum.Others
	for _, m := range set.Members {
		s := c.currentReport(now, set, m.ID)
		switch {
		case m.ID == old.ID || s == nil:
		case s.isComplete(set):
			others.Complete++
			others.Whole = others.Whole || s.statusIn(set.Scope).Whole == set.Epoch
		default:
			others.Unsettled++
			if s.statusIn(set.Scope).Epoch == set.Epoch {
				others.Incomplete++
			}
		}
	}
	return set.MayReplace(others, c.hasLostDisk(now, old))
}

// Retire starts the retirement of a storage VM. The ticket is 0 when the VM is already
// retired. The error is a *Redirect, ErrNoLeader, ErrUnknownStore or ErrTooFewStores.
func (c *Coordinator) Retire(now time.Time, name string) (Ticket, error) {
	if err := c.checkAuthority(now); err != nil {
		return 0, err
	}
	if c.state.retired(name) {
		return 0, nil
	}
	host := c.hostOfStore(name)
	remaining := 0
	for _, s := range c.liveStores(now) {
		if s.Name != name {
			remaining++
		}
	}
	switch {
	case host == "":
		return 0, ErrUnknownStore
	case remaining < c.setSize():
		return 0, ErrTooFewStores
	}
	return c.propose(now, &RetireStore{Retirement: Retirement{Name: name, Host: host}})
}

// hostOfStore returns the host of a storage VM that has reported or is a member, or "".
func (c *Coordinator) hostOfStore(name string) string {
	for _, s := range c.stores {
		if s.Name == name {
			return hostOf(s.ID.Address())
		}
	}
	for _, scope := range c.scopes() {
		set := c.state.set(scope)
		if set == nil {
			continue
		}
		for _, m := range set.Members {
			if m.Name == name {
				return hostOf(m.ID.Address())
			}
		}
	}
	return ""
}

// RetirementComplete reports whether a retired VM can be removed: no coordinator on the
// host of a retired VM has a vote, the VM is not a member of any storage set, and all
// members have adopted their sets and hold the records that they must. The error is a
// *Redirect, ErrNoLeader or ErrUnknownStore.
func (c *Coordinator) RetirementComplete(now time.Time, name string) (bool, error) {
	if err := c.checkAuthority(now); err != nil {
		return false, err
	}
	if !c.state.retired(name) {
		return false, ErrUnknownStore
	}
	if slices.ContainsFunc(c.raft.Status().Members.Voters, c.state.retiredHost) {
		return false, nil
	}
	for _, scope := range c.scopes() {
		set := c.state.set(scope)
		if set == nil {
			continue
		}
		if slices.ContainsFunc(set.Members, func(m quorum.Member) bool { return m.Name == name }) {
			return false, nil
		}
		if scope == quorum.Global && !c.allComplete(now, set) || scope != quorum.Global && !c.isSettled(now, set) {
			return false, nil
		}
	}
	return true, nil
}

// allComplete reports whether all members are live, use this set and have copied the
// records of the others.
func (c *Coordinator) allComplete(now time.Time, set *quorum.Set) bool {
	return !slices.ContainsFunc(set.Members, func(m quorum.Member) bool {
		s := c.currentReport(now, set, m.ID)
		return s == nil || !s.isComplete(set)
	})
}

// currentReport returns the last report of a member, or nil if the VM is silent or has moved to
// another region.
func (c *Coordinator) currentReport(now time.Time, set *quorum.Set, id quorum.StoreID) *storeReport {
	s := c.stores[id]
	if s == nil || now.Sub(s.receivedAt) > storeLostAfter || !set.Scope.Contains(s.Region) {
		return nil
	}
	return s
}

// isComplete reports whether the VM uses the set and has copied the records of the others.
func (s *storeReport) isComplete(set *quorum.Set) bool {
	status := s.statusIn(set.Scope)
	return status.Complete && status.Epoch == set.Epoch
}
