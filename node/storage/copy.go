package storage

import (
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
func (n *Node) startCopy(now time.Time) {
	if n.copying || n.failed != nil {
		return
	}
	set, whole := n.store.Set(), n.store.Whole()
	switch {
	case n.store.NeedsCopy():
		n.o.Log.Info("joined the storage set; copying from the other members", "epoch", set.Epoch)
		n.copying = true
		go n.copy(set)
	case n.store.Complete() && whole < set.Epoch && n.mayCompare(now, set):
		n.copying = true
		go n.compare(set, whole)
	}
}

// mayCompare reports whether a comparison is due, and counts it. The number for each set is
// bounded, because a region may have too few members for it to succeed.
func (n *Node) mayCompare(now time.Time, set *quorum.Set) bool {
	if n.comparedEpoch != set.Epoch {
		n.comparedEpoch, n.comparisons, n.compareDue = set.Epoch, 0, now
	}
	if n.comparisons >= maxComparisons || now.Before(n.compareDue) {
		return false
	}
	n.comparisons++
	n.compareDue = now.Add(compareRetryDelay)
	return true
}

// others returns the other members of a set, nearest first.
func (n *Node) others(set *quorum.Set) []quorum.Member {
	return slices.DeleteFunc(set.MembersByDistance(n.o.DataCentre, n.o.Region), func(m quorum.Member) bool { return m.ID == n.store.ID() })
}

// copy pulls the records of the other members, nearest first, until enough of them have
// transferred all their records.
func (n *Node) copy(set *quorum.Set) {
	started := n.o.Clock.Now()
	contacts := n.contact(set, n.others(set), false)
	complete := false
	if set.HoldsAll(contacts, false, 0) {
		complete = n.finishCopy(set)
	} else {
		select {
		case <-time.After(copyRetryDelay):
		case <-n.Context().Done():
		}
	}
	n.Deliver(func(now time.Time) {
		n.copying = false
		n.o.Metrics.Count("copy ended")
		turns, programs, bytes := n.store.Counts()
		n.o.Log.Info("the copy from the other members ended", "epoch", set.Epoch, "complete", complete, "sources", contacts.Complete,
			"whole_source", contacts.Whole, "turns", turns, "programs", programs, "bytes", bytes, "took_ms", now.Sub(started).Milliseconds())
	})
}

// compare pulls what this member lacks of the records of the members nearby, so that it holds
// every acknowledged record. While a member that joined still copies over a slow link, the
// next lost member could otherwise not be replaced: no single member would suffice as a source.
func (n *Node) compare(set *quorum.Set, whole domain.Epoch) {
	started := n.o.Clock.Now()
	var contacts quorum.Contacts
	useful, possible := n.usefulMembers(set)
	if set.HoldsAll(possible, true, whole) {
		contacts = n.contact(set, useful, true)
	}
	holdsAll := set.HoldsAll(contacts, true, whole)
	n.Deliver(func(now time.Time) {
		n.copying = false
		if holdsAll {
			n.store.MarkWhole(set)
		}
		n.o.Log.Info("compared the records with those of other members", "epoch", set.Epoch, "holds_all", holdsAll,
			"complete_members", contacts.Complete, "incomplete_members", contacts.Incomplete, "took_ms", now.Sub(started).Milliseconds())
	})
}

// usefulMembers asks the other members for their status only. It returns those of this region,
// and those that copy themselves and have little that this member lacks, and what contact with
// them would amount to.
func (n *Node) usefulMembers(set *quorum.Set) (useful []quorum.Member, possible quorum.Contacts) {
	for _, m := range n.others(set) {
		reply, err := n.pull(set, m, math.MaxInt)
		if err != nil || (reply.Status.Complete && m.Region != n.o.Region) {
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
// they are no source.
func (n *Node) contact(set *quorum.Set, members []quorum.Member, complete bool) quorum.Contacts {
	var contacts quorum.Contacts
	for _, m := range members {
		status, err := n.pullAll(set, m, complete)
		if err != nil {
			n.o.Log.Info("the copy from a storage VM failed; it is retried", "from", m.ID, "error", err.Error())
			continue
		}
		count(&contacts, set, m, status)
		if set.HoldsAll(contacts, complete, 0) {
			break
		}
	}
	return contacts
}

// finishCopy marks the copy as finished, durably.
func (n *Node) finishCopy(set *quorum.Set) bool {
	finished := false
	err := n.applyDurably(func(time.Time) []domain.Record {
		record := n.store.FinishCopy(set)
		if finished = record != nil; !finished {
			return nil
		}
		return []domain.Record{record}
	})
	return err == nil && finished
}
