package storage

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

// startCopy starts a copy of the other members' records if this member has just joined, or a
// comparison with them if the set has changed since the last one. It runs on the control
// goroutine.
func (r *replica) startCopy(now time.Time) {
	if r.copying || r.failed != nil {
		return
	}
	set, whole := r.store.Set(), r.store.Whole()
	switch {
	case r.store.NeedsCopy():
		r.n.o.Log.Info("joined the storage set; copying from the other members", "region", set.Scope, "epoch", set.Epoch)
		r.copying = true
		askFormer := !now.Before(r.formerDue)
		if askFormer {
			r.formerDue = now.Add(formerRetryDelay)
		}
		go r.copy(set, r.ownFormerSeats(set), askFormer)
	case r.store.Complete() && whole < set.Epoch && r.mayCompare(now, set):
		r.copying = true
		go r.compare(set, whole)
	}
}

// mayCompare reports whether a comparison is due, and counts it. The global set has a bound on the
// number of comparisons, because a region may have too few members for it to succeed. A regional
// set compares more rarely after it: a member leaves only when the others hold all records.
func (r *replica) mayCompare(now time.Time, set *quorum.Set) bool {
	if r.comparedEpoch != set.Epoch {
		r.comparedEpoch, r.comparisons, r.compareDue = set.Epoch, 0, now
	}
	exhausted := r.comparisons >= maxComparisons
	if now.Before(r.compareDue) || (exhausted && r.store.Scope() == quorum.Global) {
		return false
	}
	r.comparisons++
	r.compareDue = now.Add(compareRetryDelay)
	if exhausted {
		r.compareDue = now.Add(slowCompareDelay)
	}
	return true
}

// others returns the other members of a set, nearest first.
func (r *replica) others(set *quorum.Set) []quorum.Member {
	return slices.DeleteFunc(set.MembersByDistance(r.n.o.DataCentre, r.n.o.Region), func(m quorum.Member) bool { return m.ID == r.store.ID() })
}

// ownFormerSeats returns the former seats of this disk in a set.
func (r *replica) ownFormerSeats(set *quorum.Set) []quorum.Contact {
	var out []quorum.Contact
	for _, m := range set.Former {
		if m.ID == r.store.ID() {
			out = append(out, quorum.Contact{Member: m, Complete: r.store.IsCompleteFor(m)})
		}
	}
	return out
}

// copy pulls the records of the other members, nearest first, until enough of them have
// transferred all their records. With askFormer it asks the former members if the others do not
// suffice.
func (r *replica) copy(set *quorum.Set, own []quorum.Contact, askFormer bool) {
	started := r.n.o.Clock.Now()
	contacts, asked := r.contact(set, r.others(set), false)
	holdsAll, fromFormer := set.HoldsAll(contacts, false, 0), false
	if self, ok := set.Member(r.store.ID()); ok && !holdsAll && askFormer {
		asked = slices.Concat(asked, own, r.contactFormer(set))
		holdsAll = set.HoldsAllBefore(self.Joined, asked)
		fromFormer = holdsAll
	}
	complete := false
	if holdsAll {
		complete = r.finishCopy(set, fromFormer)
	} else {
		select {
		case <-time.After(copyRetryDelay):
		case <-r.n.Context().Done():
		}
	}
	r.n.Deliver(func(now time.Time) {
		r.copying = false
		r.n.o.Metrics.Count("copy ended")
		turns, programs, bytes := r.store.Counts()
		r.n.o.Log.Info("the copy from the other members ended", "region", set.Scope, "epoch", set.Epoch, "complete", complete, "sources", contacts.Complete,
			"from_former", fromFormer, "whole_source", contacts.Whole, "turns", turns, "programs", programs, "bytes", bytes, "took_ms", now.Sub(started).Milliseconds())
	})
}

// compare pulls what this member lacks of the records of the members nearby, so that it holds
// every acknowledged record. While a member that joined still copies over a slow link, the
// next lost member could otherwise not be replaced: no single member would suffice as a source.
func (r *replica) compare(set *quorum.Set, whole domain.Epoch) {
	started := r.n.o.Clock.Now()
	var contacts quorum.Contacts
	useful, possible := r.usefulMembers(set)
	if set.HoldsAll(possible, true, whole) {
		contacts, _ = r.contact(set, useful, true)
	}
	holdsAll := set.HoldsAll(contacts, true, whole)
	if holdsAll {
		holdsAll = r.recordDurably(func() domain.Record { return r.store.MarkWhole(set) })
	}
	r.n.Deliver(func(now time.Time) {
		r.copying = false
		r.n.o.Log.Info("compared the records with those of other members", "region", set.Scope, "epoch", set.Epoch, "holds_all", holdsAll,
			"complete_members", contacts.Complete, "incomplete_members", contacts.Incomplete, "took_ms", now.Sub(started).Milliseconds())
	})
}

// usefulMembers asks the other members for their status only. It returns those of this region,
// and those that copy themselves and have little that this member lacks, and what contact with
// them would amount to.
func (r *replica) usefulMembers(set *quorum.Set) (useful []quorum.Member, possible quorum.Contacts) {
	for _, m := range r.others(set) {
		reply, err := r.pull(set, m, math.MaxInt)
		if err != nil || (reply.Status.Complete && m.Region != r.n.o.Region) {
			continue
		}
		useful = append(useful, m)
		count(&possible, set, m, reply.Status)
	}
	return useful, possible
}

// count adds a member to the contacts.
func count(c *quorum.Contacts, set *quorum.Set, m quorum.Member, status turnstore.MemberStatus) {
	switch {
	case status.Complete:
		c.Complete++
		c.Whole = c.Whole || status.Whole == set.Epoch
	case m.Joined < set.Epoch:
		c.Incomplete++
	}
}

// contact pulls the records of members of a set, one after the other, until the contacts
// suffice. Only a complete member learns from members that copy themselves; for one that joins
// they are no source. asked lists all that answered.
func (r *replica) contact(set *quorum.Set, members []quorum.Member, complete bool) (contacts quorum.Contacts, asked []quorum.Contact) {
	for _, m := range members {
		status, err := r.pullAll(set, m, complete)
		if err != nil {
			if errors.Is(err, errSourceCopies) && status.Store == m.ID {
				asked = append(asked, quorum.Contact{Member: m})
			}
			r.n.o.Log.Info("the copy from a storage VM failed; it is retried", "from", m.ID, "error", err.Error())
			continue
		}
		count(&contacts, set, m, status)
		asked = append(asked, quorum.Contact{Member: m, Complete: status.Complete})
		if set.HoldsAll(contacts, complete, 0) {
			break
		}
	}
	return contacts, asked
}

// contactFormer pulls the records of the former members.
func (r *replica) contactFormer(set *quorum.Set) (asked []quorum.Contact) {
	for _, m := range quorum.ByDistance(set.Former, r.n.o.DataCentre, r.n.o.Region) {
		if m.ID == r.store.ID() {
			continue
		}
		status, err := r.pullAll(set, m, true)
		if err != nil {
			r.n.o.Log.Info("the copy from a former member failed; it is retried", "from", m.ID, "error", err.Error())
			continue
		}
		asked = append(asked, quorum.Contact{Member: m, Complete: status.IsCompleteFor(m)})
	}
	return asked
}

// finishCopy marks the copy as finished, durably.
func (r *replica) finishCopy(set *quorum.Set, fromFormer bool) bool {
	return r.recordDurably(func() domain.Record { return r.store.FinishCopy(set, fromFormer) })
}

// recordDurably changes the store and waits until the resulting record is synced. It returns false if
// there is none, or if the disk rejects it.
func (r *replica) recordDurably(change func() domain.Record) bool {
	changed := false
	err := r.applyDurably(func(time.Time) []domain.Record {
		record := change()
		if changed = record != nil; !changed {
			return nil
		}
		return []domain.Record{record}
	})
	return err == nil && changed
}
