package controller

import (
	"maps"
	"slices"
	"strconv"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/relay"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// proposeChange proposes a configuration change of an operator.
func (c *Controller) proposeChange(in Change) {
	operation := in.Change.Operation
	change := in.Change
	e, err := c.relay.Propose(c.now, &change)
	if err != nil {
		c.reply(in.Ticket, ChangeReply{Refusal: domain.NotRun(domain.ReasonOverloaded, "%v", err)}, true)
		return
	}
	c.changeTickets[operation] = append(c.changeTickets[operation], in.Ticket)
	c.applyRelay(e)
}

// replyToChange replies to the operators who requested a change with its
// outcome.
func (c *Controller) replyToChange(a relay.Answer) {
	tickets := c.changeTickets[a.Operation]
	delete(c.changeTickets, a.Operation)
	for _, t := range tickets {
		c.reply(t, changeReplyOf(a), true)
	}
}

func changeReplyOf(a relay.Answer) ChangeReply {
	if a.Err != nil {
		return ChangeReply{Refusal: domain.Unknown(domain.ReasonNoLeader, "%v", a.Err)}
	}
	if refusal, ok := domain.AsRefusal(a.Result.Err()); ok {
		return ChangeReply{Refusal: refusal}
	}
	return ChangeReply{Version: a.Result.Version}
}

// withdrawKey makes this VM refuse a key immediately and distributes the
// withdrawal to the other VMs. This needs no majority. The withdrawal is also
// proposed to the log; its commit may follow later.
func (c *Controller) withdrawKey(in WithdrawKey) {
	if !slices.ContainsFunc(c.state.View().Keys(), func(k config.KeySpec) bool { return k.ID == in.Key }) {
		c.reply(in.Ticket, ChangeReply{Refusal: domain.NotRun(domain.ReasonBadRequest, "key %q does not exist; list the keys to find its id", in.Key)}, true)
		return
	}
	c.applyRelay(c.relay.Withdraw(c.now, in.Key))
	c.proposeWithdrawals()
	c.keys.waiting = append(c.keys.waiting, pendingReply{c.keys.written, in.Ticket})
	c.answerWithdrawals()
}

// keyWrites tracks the writes of withdrawn keys. A withdrawal is acknowledged when
// it is durable, because this VM may be the only one that has it.
type keyWrites struct {
	written, durable uint64
	waiting          []pendingReply
}

// pendingReply is a ticket that waits for the write with the token.
type pendingReply struct {
	token  uint64
	ticket Ticket
}

func (c *Controller) answerWithdrawals() {
	for len(c.keys.waiting) > 0 && c.keys.waiting[0].token <= c.keys.durable {
		c.reply(c.keys.waiting[0].ticket, ChangeReply{}, true)
		c.keys.waiting = c.keys.waiting[1:]
	}
}

// keysPersisted handles the completion of a write of withdrawn keys.
func (c *Controller) keysPersisted(in Persisted) {
	if in.Err == nil {
		c.keys.durable = in.Token
		c.answerWithdrawals()
		return
	}
	c.storageFailed(in.Err)
	for _, w := range c.keys.waiting {
		c.reply(w.ticket, ChangeReply{Refusal: domain.Unknown(domain.ReasonStorageFailed, "the disk of this VM failed (%v); withdraw the key on another VM", in.Err)}, true)
	}
	c.keys.waiting = nil
}

// keysWithdrawn publishes and writes the keys that were added to the withdrawn
// set and cancels their calls.
func (c *Controller) keysWithdrawn(keys []config.KeyID) {
	withdrawn := maps.Clone(c.traffic.Withdrawn)
	records := make([]domain.Record, 0, len(keys))
	for _, key := range keys {
		withdrawn[key] = true
		records = append(records, &WithdrawnKey{Key: key})
		c.log("config", "a key was withdrawn", "key", key)
	}
	c.traffic.Withdrawn = withdrawn
	c.publish()
	c.keys.written++
	c.out.Writes = append(c.out.Writes, Write{Stream: StreamKeys, Token: c.keys.written, Records: records})
	for _, key := range keys {
		c.cancelCallsWithKey(key)
	}
}

// proposeWithdrawals proposes every withdrawal that is not in the applied log
// yet.
func (c *Controller) proposeWithdrawals() {
	for _, key := range c.state.View().Keys() {
		if !key.Withdrawn && c.traffic.Withdrawn[key.ID] {
			c.propose("withdraw-"+string(key.ID), &config.WithdrawKey{ID: key.ID})
		}
	}
}

// mergeWithdrawn adds the withdrawals of the configuration to the withdrawn set.
func (c *Controller) mergeWithdrawn(view *config.View) {
	var keys []config.KeyID
	for _, key := range view.Keys() {
		if key.Withdrawn && !c.traffic.Withdrawn[key.ID] {
			keys = append(keys, key.ID)
		}
	}
	if len(keys) > 0 {
		c.applyRelay(c.relay.Withdraw(c.now, keys...))
	}
}
