package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/quorum"
)

// SetStatus is the status of a storage VM in the set of its region.
type SetStatus struct {
	// Epoch, Complete and Whole are as in StoreStatus.
	Epoch    domain.Epoch `cbor:",omitempty"`
	Complete bool         `cbor:",omitempty"`
	Whole    domain.Epoch `cbor:",omitempty"`
	// Turns is the number of stored turns.
	Turns int `cbor:",omitempty"`
	// Set is the adopted set. It is present while the coordinators have an older one.
	Set *quorum.Set `cbor:",omitempty"`
}

// SetVersion names the newest set of a scope that a process has.
type SetVersion struct {
	Scope quorum.Scope
	Epoch domain.Epoch
}

// set returns the set of a scope, or nil.
func (s *State) set(scope quorum.Scope) *quorum.Set {
	if scope == quorum.Global {
		return s.Stores
	}
	i := slices.IndexFunc(s.Regional, func(set *quorum.Set) bool { return set.Scope == scope })
	if i < 0 {
		return nil
	}
	return s.Regional[i]
}

// putRegional replaces the set of a region if the given one is newer, and reports whether it did.
// It does not change the former list, which views and applied states share.
func (s *State) putRegional(set *quorum.Set) bool {
	if current := s.set(set.Scope); current != nil && set.Epoch <= current.Epoch {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(s.Regional), func(o *quorum.Set) bool { return o.Scope == set.Scope })
	s.Regional = append(others, set)
	slices.SortFunc(s.Regional, func(a, b *quorum.Set) int { return cmp.Compare(a.Scope, b.Scope) })
	return true
}

// statusIn returns the status of a storage VM in the set of a scope.
func (s *storeReport) statusIn(scope quorum.Scope) SetStatus {
	switch {
	case scope == quorum.Global:
		return SetStatus{Epoch: s.Epoch, Complete: s.Complete, Whole: s.Whole}
	case s.Regional == nil || !scope.Contains(s.Region):
		return SetStatus{}
	default:
		return *s.Regional
	}
}

// scopes returns the scopes of all sets that exist or are wanted: the global one first, then the
// regions in ascending order.
func (c *Coordinator) scopes() []quorum.Scope {
	out := []quorum.Scope{quorum.Global}
	if c.state.Stores != nil {
		out = append(out, c.state.Stores.Scopes...)
	}
	for _, set := range c.state.Regional {
		out = append(out, set.Scope)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// wantedScopes returns the regions whose sets the global set has to list: those of existing sets
// and those with a live storage VM. It is empty before the first document with a constraint, and
// unchanged while a live storage VM runs a build without regional sets.
func (c *Coordinator) wantedScopes(now time.Time) []quorum.Scope {
	out := c.scopes()[1:]
	if !c.state.Constrained {
		return out
	}
	var added []quorum.Scope
	for _, s := range c.liveStores(now) {
		switch {
		case s.Region != "" && s.Regional == nil:
			return out
		case s.Region != "":
			added = append(added, quorum.Scope(s.Region))
		}
	}
	out = append(out, added...)
	slices.Sort(out)
	return slices.Compact(out)
}

// withScopes returns the next global set if the list of regional sets has to change.
func (c *Coordinator) withScopes(now time.Time, set *quorum.Set) *quorum.Set {
	wanted := c.wantedScopes(now)
	if slices.Equal(wanted, set.Scopes) {
		return nil
	}
	return set.WithScopes(wanted)
}

// mayForm reports whether the set of a region may be formed: a majority of the members of the
// global set have adopted an epoch that lists it. Who asks the global set alone with an earlier
// epoch is then told of the list before a turn of the regional set can pass for absent.
func (c *Coordinator) mayForm(now time.Time, scope quorum.Scope) bool {
	global := c.state.Stores
	if global == nil || !slices.Contains(global.Scopes, scope) {
		return false
	}
	adopted := 0
	for _, m := range global.Members {
		if s := c.currentReport(now, global, m.ID); s != nil && s.Epoch == global.Epoch {
			adopted++
		}
	}
	return adopted >= global.Majority()
}

// adoptedSet returns the newest set of a region that a storage VM has adopted and that is newer
// than that of the state, or nil. The second result reports whether one is known to exist, so that
// no other one may be formed. It is newer after an earlier build has compacted the log.
func (c *Coordinator) adoptedSet(now time.Time, scope quorum.Scope) (*quorum.Set, bool) {
	var newest *quorum.Set
	current := domain.Epoch(0)
	if set := c.state.set(scope); set != nil {
		current = set.Epoch
	}
	exists := false
	for _, s := range c.liveStores(now) {
		status := s.statusIn(scope)
		exists = exists || status.Epoch > current
		if status.Set != nil && status.Set.Scope == scope && status.Set.Epoch > current && (newest == nil || status.Set.Epoch > newest.Epoch) {
			newest = status.Set
		}
	}
	return newest, exists
}

// firstRegionalSet returns the first set of a region, once enough of its storage VMs report.
func (c *Coordinator) firstRegionalSet(now time.Time, scope quorum.Scope) *quorum.Set {
	if !c.mayForm(now, scope) {
		return nil
	}
	members := c.liveMembers(now, scope)
	waited := now.Sub(c.leaderSince)
	enough := len(members) >= c.setSize() || (len(members) > c.cfg.Tolerance && waited >= regionSettleTime) || waited >= firstSetTimeout
	if len(members) == 0 || !enough {
		return nil
	}
	if len(members) > c.setSize() {
		members = spreadAcrossDataCentres(members, c.setSize())
	}
	return &quorum.Set{Epoch: quorum.FirstEpoch, Members: members, Scope: scope, Tolerance: c.cfg.Tolerance}
}

// nextRegionalSet returns the next set of a region, or nil. It differs from that of the global set
// in two ways: the region may have fewer storage VMs than wanted, so a lost member is replaced
// before another one is added, and a retired member leaves without a replacement.
func (c *Coordinator) nextRegionalSet(now time.Time, set *quorum.Set) *quorum.Set {
	if members := c.membersToReplace(now, set); len(members) > 0 {
		next, lacksVM := c.withReplacement(now, set, members)
		if lacksVM {
			next = c.withoutRetired(now, set)
		}
		return next
	}
	if len(set.Members) >= c.setSize() || c.isCopying(now, set) {
		return nil
	}
	if added, ok := c.replacementStore(now, set, quorum.Member{}); ok {
		return set.Replace("", added)
	}
	return nil
}

// withoutRetired returns the next set for retired members without a replacement, or nil. They are
// marked first, and removed when each other member holds every record acknowledged before the last
// mark. The last members of a region are removed when they have no turns any more.
func (c *Coordinator) withoutRetired(now time.Time, set *quorum.Set) *quorum.Set {
	for _, m := range set.Members {
		if c.state.retired(m.Name) && !m.Leaving {
			if c.isCopying(now, set) {
				return nil
			}
			return set.MarkLeaving(m.ID)
		}
	}
	next := set.WithoutLeaving()
	switch {
	case len(next.Members) == len(set.Members):
		return nil
	case len(next.Members) == 0 && !c.isEmpty(now, set):
		return nil
	case slices.ContainsFunc(next.Members, func(m quorum.Member) bool { return !c.holdsAll(now, set, m) }):
		return nil
	default:
		return next
	}
}

// isEmpty reports whether all members are live, use the set and hold no turn.
func (c *Coordinator) isEmpty(now time.Time, set *quorum.Set) bool {
	return !slices.ContainsFunc(set.Members, func(m quorum.Member) bool {
		s := c.currentReport(now, set, m.ID)
		return s == nil || s.statusIn(set.Scope).Epoch != set.Epoch || s.statusIn(set.Scope).Turns > 0
	})
}

// isSettled reports whether no member of a regional set still copies. A region may lack the VM to
// replace a lost member, so a silent one counts only if it has joined with this set.
func (c *Coordinator) isSettled(now time.Time, set *quorum.Set) bool {
	return !c.isCopying(now, set) && !slices.ContainsFunc(set.Members, func(m quorum.Member) bool {
		return m.Joined == set.Epoch && c.currentReport(now, set, m.ID) == nil
	})
}

// holdsAll reports whether a member is live and holds every record acknowledged before the set.
func (c *Coordinator) holdsAll(now time.Time, set *quorum.Set, m quorum.Member) bool {
	s := c.currentReport(now, set, m.ID)
	return s != nil && s.isComplete(set) && s.statusIn(set.Scope).Whole == set.Epoch
}

// isCopying reports whether a live member has not adopted the set or not copied its records yet.
func (c *Coordinator) isCopying(now time.Time, set *quorum.Set) bool {
	return slices.ContainsFunc(set.Members, func(m quorum.Member) bool {
		s := c.currentReport(now, set, m.ID)
		return s != nil && !s.isComplete(set)
	})
}

// newerRegionalSets returns the sets of regions that the sender of a report lacks. A storage VM
// needs that of its own region only.
func (c *Coordinator) newerRegionalSets(r *Report) []*quorum.Set {
	var out []*quorum.Set
	for _, set := range c.state.Regional {
		known := domain.Epoch(0)
		switch {
		case r.Gateway:
			if i := slices.IndexFunc(r.Regional, func(v SetVersion) bool { return v.Scope == set.Scope }); i >= 0 {
				known = r.Regional[i].Epoch
			}
		case r.Store == nil || r.Store.Regional == nil || !set.Scope.Contains(r.Store.Region):
			continue
		default:
			known = r.Store.Regional.Epoch
		}
		if set.Epoch > known {
			out = append(out, set)
		}
	}
	return out
}

// lacksSetOf reports whether a storage VM has adopted a newer set of its region than the state has.
func (c *Coordinator) lacksSetOf(s *StoreStatus) bool {
	if s == nil || s.Regional == nil || s.Regional.Epoch == 0 {
		return false
	}
	set := c.state.set(quorum.Scope(s.Region))
	return set == nil || set.Epoch < s.Regional.Epoch
}

// proposeConstrained records that a document with a constraint is in force, if a gateway reports
// it and the document does not say so: an earlier build accepted it.
func (c *Coordinator) proposeConstrained(now time.Time) {
	if !c.constraintReported || c.state.Constrained || !c.authoritative(now) || c.hasUnappliedEntries() {
		return
	}
	// No build puts a document of version 0 in force.
	if _, err := c.propose(now, &PutDocument{Document: manifest.Document{Constrained: true}}); err != nil {
		c.event("the use of region constraints was not recorded", map[string]any{"error": err.Error()})
	}
}

// constrain records that a document with a constraint was in force.
func (c *Coordinator) constrain(d manifest.Document) {
	if d.Constrained && !c.state.Constrained {
		c.state.Constrained = true
		c.event("region constraints are in use; the storage sets of the regions are formed", map[string]any{"version": d.Version})
	}
}
