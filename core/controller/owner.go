package controller

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/shard"
)

// compactShardAfter is the number of records after which a shard's log is
// replaced by a snapshot.
const compactShardAfter = 4096

// ownedShard is the state of a shard that this VM owns.
type ownedShard struct {
	store *program.Store
	epoch domain.Epoch
	// firstIndex is the index of the firstIndex record since the activation, or 0.
	firstIndex uint64
	// appended and committed are the last positions.
	appended  shard.Position
	committed shard.Position
	compacted uint64
}

func (c *Controller) ownedIDs() []domain.ShardID {
	return slices.SortedFunc(maps.Keys(c.stores), domain.ShardID.Compare)
}

// applyShards carries out the effects of ownership and replication, in their
// order.
func (c *Controller) applyShards(e shard.Effects) {
	for _, w := range e.Writes {
		c.out.Writes = append(c.out.Writes, Write{Stream: StreamShards, Token: w.Token, Records: w.Records})
		c.storedShardRecords += len(w.Records)
	}
	c.sendAll(e.Sends)
	for _, id := range e.Deactivated {
		c.deactivate(id)
	}
	for _, id := range e.Activated {
		c.activate(id)
	}
	for _, committed := range e.Committed {
		c.recordCommitted(committed)
	}
	for _, command := range e.Proposals {
		c.proposeShard(command)
	}
}

// proposeShard forwards a proposal of an owner. The manager repeats proposals
// that the leader could not accept yet, so each repeat is an operation of its
// own.
func (c *Controller) proposeShard(command config.Command) {
	assign, ok := command.(*config.AssignShard)
	if !ok {
		return
	}
	c.propose(assignmentOperation(assign, c.config.VM, c.now), assign)
}

func (c *Controller) activate(id domain.ShardID) {
	epoch, ok := c.shards.Owns(c.now, id)
	if !ok {
		return
	}
	view := c.state.View()
	store := program.New(id, c.vmState)
	for _, r := range c.shards.ShardRecords(id) {
		store.Apply(r)
	}
	c.stores[id] = &ownedShard{store: store, epoch: epoch}
	c.activated = append(c.activated, id)
	c.applyStore(id, store.Activate(c.now, epoch, view))
	for _, vm := range slices.Sorted(maps.Keys(store.EntryVMs())) {
		if vm != c.config.VM && c.knownDead(vm) {
			c.applyStore(id, store.VMDead(c.now, vm))
		}
	}
	c.reconfigure = true
}

// announceOwned tells all VMs about the shards that this VM has taken over.
func (c *Controller) announceOwned() {
	if len(c.activated) == 0 {
		return
	}
	c.log("shard", "this VM has taken over shards", "count", len(c.activated), "first", c.activated[0].String())
	ready := &OwnerReady{Shards: c.activated}
	c.activated = nil
	c.broadcast(ready)
	c.ownerReady(ready)
}

// ownerReady sends waiting calls of the shards again.
func (c *Controller) ownerReady(m *OwnerReady) {
	view := c.state.View()
	c.applyEntry(c.calls.Resend(c.now, func(id domain.ProgramID) bool {
		shardID, err := view.ShardOfProgram(id)
		return err == nil && slices.Contains(m.Shards, shardID)
	}))
}

// knownDead says whether membership has declared the VM dead or has forgotten
// it.
func (c *Controller) knownDead(vm domain.VM) bool {
	for _, m := range c.members.Members() {
		if m.VM == vm {
			return m.State == membership.Dead
		}
	}
	return true
}

func (c *Controller) deactivate(id domain.ShardID) {
	owned := c.stores[id]
	if owned == nil {
		return
	}
	owned.store.Deactivate()
	delete(c.stores, id)
	for call, of := range c.running {
		if of == id {
			c.scheduler.Cancel(c.now, call)
			delete(c.running, call)
		}
	}
	c.reconfigure = true
}

// owned returns the shard's state if this VM may act for it now. A lease that
// has ended and come back keeps the state, because nothing was decided in
// between. The epoch grows while the VM stays owner when the backup changes.
func (c *Controller) owned(id domain.ShardID) *ownedShard {
	owned := c.stores[id]
	if owned == nil {
		return nil
	}
	epoch, ok := c.shards.Owns(c.now, id)
	if !ok {
		return nil
	}
	owned.epoch = epoch
	return owned
}

// stepOwner handles a message about a program. A VM that does not own the
// program drops it; the sender repeats it to the owner of a later
// configuration.
func (c *Controller) stepOwner(from domain.VM, m domain.Message) {
	id, ok := programOf(m)
	if !ok {
		return
	}
	shardID, err := c.state.View().ShardOfProgram(id)
	if err != nil {
		return
	}
	if fail, ok := m.(*program.FailCall); ok {
		c.stepFail(shardID, fail)
		return
	}
	if finish, ok := m.(*program.FinishCall); ok && c.owned(shardID) != nil {
		c.callFinished(finish)
	}
	c.stepStore(shardID, m)
}

func programOf(m domain.Message) (domain.ProgramID, bool) {
	switch m := m.(type) {
	case *program.BeginCall:
		return m.Program, true
	case *program.FinishCall:
		return m.Program, true
	case *program.FailCall:
		return m.Program, true
	case *program.CallEnded:
		return m.Program, true
	case *program.EndProgram:
		return m.Program, true
	case *program.GetProgram:
		return m.Program, true
	default:
		return domain.ProgramID{}, false
	}
}

func (c *Controller) stepStore(id domain.ShardID, m domain.Message) {
	if owned := c.owned(id); owned != nil {
		c.applyStore(id, owned.store.Step(c.now, m))
	}
}

// applyStore carries out a decision of a shard's store.
func (c *Controller) applyStore(id domain.ShardID, e program.Effects) {
	owned := c.stores[id]
	for _, r := range e.Records {
		position, effects, err := c.shards.Append(c.now, id, r)
		if err != nil {
			// The store has applied a record that is not in the log, so it is built
			// again from the log when the VM may act for the shard.
			c.discardStore(id, err)
			return
		}
		if owned.firstIndex == 0 {
			owned.firstIndex = position.Index
		}
		owned.appended = position
		c.reportProgramEnd(owned, r)
		c.applyShards(effects)
		if c.stores[id] != owned {
			return
		}
	}
	c.storeOutput(e)
}

// reportProgramEnd reports the latency of a whole program, which is what callers feel.
func (c *Controller) reportProgramEnd(owned *ownedShard, r domain.Record) {
	end, ok := r.(*program.ProgramEnded)
	if !ok {
		return
	}
	if started := owned.store.Started(end.Program); !started.IsZero() {
		c.out.Ended = append(c.out.Ended, EndedProgram{Account: end.Program.Account, Latency: end.At.Sub(started)})
	}
}

// storeOutput carries out what does not depend on records.
func (c *Controller) storeOutput(e program.Effects) {
	c.sendAll(e.Sends)
	for _, out := range e.Outbound {
		owner := c.state.View().Assignment(out.To).Owner
		c.send(domain.Send{To: owner, Body: &ShardMessage{To: out.To, Body: out.Body}})
	}
	c.out.Releases = append(c.out.Releases, e.Releases...)
	c.out.Expired = append(c.out.Expired, e.Expired...)
	for _, id := range e.Unready {
		c.scheduler.Cancel(c.now, id)
		delete(c.running, id)
	}
	for _, r := range e.Ready {
		c.enqueue(r)
	}
	for _, m := range e.Broadcast {
		c.broadcast(m)
	}
}

func (c *Controller) broadcast(m domain.Message) {
	for _, member := range c.members.Members() {
		if member.VM != c.config.VM && member.State != membership.Dead {
			c.send(domain.Send{To: member.VM, Body: m})
		}
	}
}

func (c *Controller) discardStore(id domain.ShardID, err error) {
	if !errors.Is(err, shard.ErrNoLease) && !errors.Is(err, shard.ErrNotOwner) {
		c.log("shard", "a record was refused", "shard", id.String(), "error", err.Error())
	}
	c.deactivate(id)
}

// reactivateShards builds the state of shards again that this VM owns and has no
// state for.
func (c *Controller) reactivateShards() {
	for _, a := range c.state.View().Assignments() {
		if a.Owner != c.config.VM || c.stores[a.Shard] != nil {
			continue
		}
		if _, ok := c.shards.Owns(c.now, a.Shard); ok {
			c.activate(a.Shard)
		}
	}
}

// recordCommitted counts a record of an owned shard as durable and replicated.
func (c *Controller) recordCommitted(r shard.Committed) {
	owned := c.stores[r.Shard]
	if owned == nil || owned.firstIndex == 0 || r.Position.Index < owned.firstIndex {
		return
	}
	owned.committed = r.Position
	c.applyStore(r.Shard, owned.store.Committed(r.Position.Index-owned.firstIndex+1))
	c.compactShard(r.Shard, owned)
}

// rewriteAfter is the number of stored shard records after which the stream is
// replaced by what is still needed of it.
const rewriteAfter = 1 << 16

// rewriteShards keeps the durable stream of shard records from growing.
func (c *Controller) rewriteShards() {
	if c.storedShardRecords < rewriteAfter {
		return
	}
	c.storedShardRecords = 0
	token, records := c.shards.Dump()
	c.out.Writes = append(c.out.Writes, Write{Stream: StreamShards, Token: token, Replace: true, Records: records})
}

// compactShard replaces a long log by a snapshot. The store has applied every
// appended record, so its snapshot is that of the committed position only when
// nothing is in between.
func (c *Controller) compactShard(id domain.ShardID, owned *ownedShard) {
	if owned.committed != owned.appended || owned.committed.Index-owned.compacted < compactShardAfter {
		return
	}
	effects, err := c.shards.Compact(c.now, id, owned.committed, owned.store.Snapshot())
	if err != nil {
		return
	}
	owned.compacted = owned.committed.Index
	c.applyShards(effects)
}

func (c *Controller) releaseDone(in ReleaseDone) {
	if in.Err != nil {
		return
	}
	id, err := c.state.View().ShardOfProgram(in.Release.Program)
	if err != nil {
		return
	}
	if owned := c.owned(id); owned != nil {
		c.applyStore(id, owned.store.Released(c.now, in.Release.Program, in.Release.Target))
	}
}

// crashBucketSeconds groups the reports of one crash when the target's instance
// is not known. Reports arrive within the timeout of a connection check.
const crashBucketSeconds = 10

// crashNumber identifies the crash of a target by the instance that was
// running, because all calls that one crash ended report the same number.
func (c *Controller) crashNumber(target domain.Target) uint64 {
	if instance, ok := c.instances[target]; ok {
		return instance
	}
	return domain.Hash64(string(target), strconv.FormatInt(c.now.Unix()/crashBucketSeconds, 10))
}
