package storage

import (
	"math"
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
	case n.store.Complete() && whole < set.Epoch && !now.Before(n.compareDue) && n.canCompare(set, whole):
		n.copying, n.compareDue = true, now.Add(compareRetryDelay)
		go n.compare(set, whole)
	}
}

// canCompare reports whether a comparison with the members of this region may suffice.
func (n *Node) canCompare(set *quorum.Set, whole domain.Epoch) bool {
	near := quorum.Contacts{Complete: -1} // without this member
	for _, m := range set.Members {
		if m.Region == n.o.Region {
			near.Complete++
		}
	}
	return whole+1 == set.Epoch || set.HoldsAll(near, true, whole)
}

// copy pulls the records of the other members, nearest first, until enough of them have
// transferred all their records.
func (n *Node) copy(set *quorum.Set) {
	started := n.o.Clock.Now()
	contacts := n.contact(set, func(m quorum.Member) (turnstore.MemberStatus, error) { return n.pullAll(set, m) }, false)
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
// Members of other regions are only asked for their status, unless they copy themselves and
// have little that this member lacks.
func (n *Node) compare(set *quorum.Set, whole domain.Epoch) {
	started := n.o.Clock.Now()
	contacts := n.contact(set, func(m quorum.Member) (turnstore.MemberStatus, error) {
		reply, err := n.pull(set, m, math.MaxInt)
		if err != nil {
			return turnstore.MemberStatus{}, err
		}
		if reply.Status.Complete && m.Region != n.o.Region {
			return turnstore.MemberStatus{}, nil
		}
		return n.pullAll(set, m)
	}, true)
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

// contact asks the other members of a set, nearest first, until the contacts suffice. ask returns
// the status of a member whose records were compared, and the zero status for another one.
func (n *Node) contact(set *quorum.Set, ask func(quorum.Member) (turnstore.MemberStatus, error), complete bool) quorum.Contacts {
	var contacts quorum.Contacts
	for _, m := range set.MembersByDistance(n.o.DataCentre, n.o.Region) {
		if m.ID == n.store.ID() {
			continue
		}
		status, err := ask(m)
		switch {
		case err != nil:
			n.o.Log.Info("the copy from a storage VM failed; it is retried", "from", m.ID, "error", err.Error())
		case status.Complete:
			contacts.Complete++
			contacts.Whole = contacts.Whole || status.Whole == set.Epoch
		case status.Accepted && m.Joined < set.Epoch:
			contacts.Incomplete++
		}
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
