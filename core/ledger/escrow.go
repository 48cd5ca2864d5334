package ledger

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Step handles a message from another shard or from this one.
func (l *Ledger) Step(now time.Time, msg domain.Message) Effects {
	var e Effects
	switch m := msg.(type) {
	case *Request:
		l.onRequest(now, m, &e)
	case *Denied:
		h := l.holder(key{m.Account, m.Month})
		h.denialReason, h.rootAvailable, h.deniedAt = m.Reason, m.Free, now
		h.requested, h.requestedAt = 0, time.Time{}
	case *Recall:
		l.onRecall(now, m, &e)
	case *Transfer:
		l.onTransfer(now, m, &e)
	case *TransferReply:
		l.onTransferReply(m)
	case *UsageReport:
		l.onUsageReport(now, m)
	}
	return e
}

func (l *Ledger) emit(e *Effects, r domain.Record) {
	l.Apply(r)
	e.Records = append(e.Records, r)
}

func (e *Effects) send(to domain.ShardID, m domain.Message) {
	e.Outbound = append(e.Outbound, Outbound{to, m})
}

func (l *Ledger) sendRequest(now time.Time, h *holder, e *Effects) {
	shard, err := RootShard(l.view, h.Account)
	if err != nil {
		return
	}
	h.requestedAt = now
	e.send(shard, &Request{h.Account, h.Month, l.shard, h.requested})
}

// releasable returns the amount that the root may release now and the reason
// that limits it.
func (l *Ledger) releasable(now time.Time, root *root) (domain.Micros, domain.Reason) {
	spec := l.view.Account(root.Account)
	if spec == nil || spec.Disabled {
		return 0, domain.ReasonAccountBudget
	}
	budget := spec.MonthlyBudget - root.outstanding()
	today := dailyAllowance(spec.MonthlyBudget, l.view.Preset().DailySpendPermille)
	if day := dayOf(now); day <= root.Day {
		today -= root.DayNet
	}
	if today < budget {
		return max(today, 0), domain.ReasonSpendRate
	}
	return max(budget, 0), domain.ReasonAccountBudget
}

// isRoot reports whether this shard is the account's root. A message that was
// sent under another configuration can arrive at the wrong shard.
func (l *Ledger) isRoot(account domain.Account) bool {
	shard, err := RootShard(l.view, account)
	return err == nil && shard == l.shard
}

func (l *Ledger) onRequest(now time.Time, m *Request, e *Effects) {
	if m.Month != MonthOf(now) || m.Amount <= 0 || !l.isRoot(m.Account) {
		return
	}
	root := l.root(key{m.Account, m.Month})
	p := root.peer(m.From)
	if p.Pending > 0 {
		l.resendRelease(now, root, p, e)
		return
	}
	available, reason := l.releasable(now, root)
	if available >= m.Amount {
		amount := m.Amount + (available-m.Amount)/releaseMarginDivisor
		root.recallAt = time.Time{}
		p.sentAt = now
		l.emit(e, &TransferSent{m.Account, m.Month, m.From, p.OutNumber + 1, amount, dayOf(now), false})
		e.send(m.From, l.releaseTransfer(root, p))
		return
	}
	if l.recall(now, root, m.From, m.Amount-available, e) {
		return
	}
	e.send(m.From, &Denied{m.Account, m.Month, reason, available})
}

// recall requests the missing amount from the other holders and reports whether
// the requester should wait for it.
func (l *Ledger) recall(now time.Time, root *root, requester domain.ShardID, missing domain.Micros, e *Effects) bool {
	since := now.Sub(root.recallAt)
	if since < recallTimeout {
		return true
	}
	if since < recallInterval {
		return false
	}
	sent := false
	for _, p := range root.sortedPeers() {
		if p.Shard != requester && p.Released > p.Returned {
			e.send(p.Shard, &Recall{root.Account, root.Month, missing})
			sent = true
		}
	}
	if sent {
		root.recallAt = now
	}
	return sent
}

func (l *Ledger) onRecall(now time.Time, m *Recall, e *Effects) {
	h := l.holders[key{m.Account, m.Month}]
	if h == nil || h.Pending > 0 {
		return
	}
	amount := min(h.available(), m.Amount)
	shard, err := RootShard(l.view, m.Account)
	if amount <= 0 || err != nil {
		return
	}
	h.sentAt = now
	l.emit(e, &TransferSent{m.Account, m.Month, shard, h.OutNumber + 1, amount, dayOf(now), true})
	e.send(shard, l.returnTransfer(h))
}

// onTransfer credits the transfer with the next number and acknowledges every
// number up to it. The acknowledgement is sent after the record is durable, so
// the sender discards a transfer only when its credit cannot be lost.
func (l *Ledger) onTransfer(now time.Time, m *Transfer, e *Effects) {
	if m.Month < MonthOf(now)-1 || m.Return && !l.isRoot(m.Account) {
		return
	}
	k := key{m.Account, m.Month}
	var last uint64
	if m.Return {
		last = l.root(k).peer(m.From).InNumber
	} else {
		last = l.holder(k).InNumber
	}
	if m.Number > last+1 {
		return
	}
	if m.Number == last+1 {
		l.emit(e, &TransferReceived{m.Account, m.Month, m.From, m.Number, m.Amount, dayOf(now), m.Return})
	}
	if !m.Return {
		h := l.holder(k)
		h.requested, h.deniedAt, h.requestedAt = 0, time.Time{}, time.Time{}
		h.lastCredit = m.Amount
	}
	e.send(m.From, &TransferReply{m.Account, m.Month, l.shard, m.Number, m.Return})
}

// onTransferReply stops the resending of an acknowledged transfer. It needs no
// record: after a restart the transfer is sent and acknowledged again.
func (l *Ledger) onTransferReply(m *TransferReply) {
	k := key{m.Account, m.Month}
	if m.Return {
		if h := l.holders[k]; h != nil && h.OutNumber == m.Number {
			h.Pending = 0
		}
		return
	}
	if root := l.roots[k]; root != nil {
		if p := root.peers[m.From]; p != nil && p.OutNumber == m.Number {
			p.Pending = 0
		}
	}
}

func (l *Ledger) releaseTransfer(root *root, p *peer) *Transfer {
	return &Transfer{root.Account, root.Month, l.shard, p.OutNumber, p.Pending, false}
}

func (l *Ledger) returnTransfer(h *holder) *Transfer {
	return &Transfer{h.Account, h.Month, l.shard, h.OutNumber, h.Pending, true}
}

func (l *Ledger) resendRelease(now time.Time, root *root, p *peer, e *Effects) {
	if now.Sub(p.sentAt) >= resendInterval {
		p.sentAt = now
		e.send(p.Shard, l.releaseTransfer(root, p))
	}
}

// Tick resends unacknowledged transfers and unanswered requests, reports usage,
// recalls the amounts that a lowered budget no longer covers, and deletes the
// state of months before the previous one.
func (l *Ledger) Tick(now time.Time) Effects {
	var e Effects
	if l.view == nil {
		return e
	}
	l.lastTick, l.awaitingReply = now, false
	month := MonthOf(now)
	for _, k := range sortedKeys(l.holders) {
		h := l.holders[k]
		if k.month < month-1 && h.Reserved == 0 && h.held == 0 {
			delete(l.holders, k)
			continue
		}
		l.tickHolder(now, h, &e)
	}
	for _, k := range sortedKeys(l.roots) {
		if k.month < month-1 {
			delete(l.roots, k)
			continue
		}
		l.tickRoot(now, l.roots[k], &e)
	}
	return e
}

func (l *Ledger) tickHolder(now time.Time, h *holder, e *Effects) {
	shard, err := RootShard(l.view, h.Account)
	if err != nil {
		return
	}
	if h.Pending > 0 || h.requested > 0 && h.Month == MonthOf(now) {
		l.awaitingReply = true
	}
	if h.Pending > 0 && now.Sub(h.sentAt) >= resendInterval {
		h.sentAt = now
		e.send(shard, l.returnTransfer(h))
	}
	if h.requested > 0 && h.Month == MonthOf(now) && now.Sub(h.requestedAt) >= resendInterval {
		l.sendRequest(now, h, e)
	}
	since := now.Sub(h.reportedAt)
	if since >= reportRepeatInterval || since >= reportInterval && h.Charged > h.reportedCharges {
		h.reportedCharges, h.reportedAt = h.Charged, now
		e.send(shard, &UsageReport{h.Account, h.Month, l.shard, h.Charged})
	}
}

func (l *Ledger) tickRoot(now time.Time, root *root, e *Effects) {
	for _, p := range root.sortedPeers() {
		if p.Pending > 0 {
			l.awaitingReply = true
			l.resendRelease(now, root, p, e)
		}
	}
	spec := l.view.Account(root.Account)
	if spec == nil || root.Month != MonthOf(now) {
		return
	}
	if excess := root.outstanding() - spec.MonthlyBudget; excess > 0 {
		l.recall(now, root, domain.ShardID{}, excess, e)
	}
}

// NextWake returns the time of the next Tick.
func (l *Ledger) NextWake() time.Time {
	if l.awaitingReply {
		return l.lastTick.Add(resendInterval)
	}
	return l.lastTick.Add(reportInterval)
}
