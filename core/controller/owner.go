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

// ownedShard is the owner's state of a shard.
type ownedShard struct {
	store *program.Store
	epoch domain.Epoch
	// firstIndex is the index of the first record appended since the activation,
	// or 0.
	firstIndex uint64
	// appended and committed are the positions of the last appended and the last
	// committed record.
	appended  shard.Position
	committed shard.Position
	compacted uint64
}

func (c *Controller) ownedIDs() []domain.ShardID {
	return slices.SortedFunc(maps.Keys(c.stores), domain.ShardID.Compare)
}

// applyShards carries out the effects of the shard manager, each list in its
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
		c.proposeAssignment(command)
	}
}

// proposeAssignment proposes an assignment that the shard manager requests as owner.
// The manager repeats a proposal that the leader could not accept yet, so each
// attempt has its own operation id.
func (c *Controller) proposeAssignment(command config.Command) {
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

// announceOwned broadcasts the shards that this VM has taken over.
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

// ownerReady resends the calls that wait for the shards.
func (c *Controller) ownerReady(m *OwnerReady) {
	view := c.state.View()
	c.applyEntry(c.calls.Resend(c.now, func(id domain.ProgramID) bool {
		shardID, err := view.ShardOfProgram(id)
		return err == nil && slices.Contains(m.Shards, shardID)
	}))
}

// knownDead reports whether membership has declared the VM dead or no longer
// lists it.
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
	for call, of := range c.callShards {
		if of == id {
			c.scheduler.Cancel(c.now, call)
			delete(c.callShards, call)
		}
	}
	c.reconfigure = true
}

// owned returns the shard's state, or nil if this VM may not act for the shard
// now. The state is kept while the lease is expired, because nothing can be decided
// until it is renewed. The epoch is updated because a change of the backup increases
// it although the owner stays the same.
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

// stepOwner handles a message about a program. A VM that does not own the program
// discards the message. The sender resends it to the owner that a later
// configuration names.
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
		c.handleFailCall(shardID, fail)
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

// applyStore appends the records of a shard's store and then carries out its
// other effects.
func (c *Controller) applyStore(id domain.ShardID, e program.Effects) {
	owned := c.stores[id]
	for _, r := range e.Records {
		position, effects, err := c.shards.Append(c.now, id, r)
		if err != nil {
			// The store has applied a record that is not in the log, so the store is
			// discarded. It is rebuilt from the log when the VM may act for the shard
			// again.
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
	c.applyStoreOutput(e)
}

// reportProgramEnd reports the latency of a whole program if the record ends one.
func (c *Controller) reportProgramEnd(owned *ownedShard, r domain.Record) {
	end, ok := r.(*program.ProgramEnded)
	if !ok {
		return
	}
	if started := owned.store.Started(end.Program); !started.IsZero() {
		c.out.Ended = append(c.out.Ended, EndedProgram{Account: end.Program.Account, Latency: end.At.Sub(started)})
	}
}

// applyStoreOutput carries out the effects of a store other than its records.
func (c *Controller) applyStoreOutput(e program.Effects) {
	c.sendAll(e.Sends)
	for _, out := range e.Outbound {
		owner := c.state.View().Assignment(out.To).Owner
		c.send(domain.Send{To: owner, Body: &ShardMessage{To: out.To, Body: out.Body}})
	}
	c.out.Releases = append(c.out.Releases, e.Releases...)
	c.out.Expired = append(c.out.Expired, e.Expired...)
	for _, id := range e.Unready {
		c.scheduler.Cancel(c.now, id)
		delete(c.callShards, id)
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
		c.log("shard", "a record could not be appended", "shard", id.String(), "error", err.Error())
	}
	c.deactivate(id)
}

// reactivateShards rebuilds the state of the shards that this VM owns but has no
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

// recordCommitted reports to the store of an owned shard that a record is durable
// and replicated.
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
// replaced by the records that are still needed.
const rewriteAfter = 1 << 16

// rewriteShards limits the size of the durable stream of shard records.
func (c *Controller) rewriteShards() {
	if c.storedShardRecords < rewriteAfter {
		return
	}
	c.storedShardRecords = 0
	token, records := c.shards.Dump()
	c.out.Writes = append(c.out.Writes, Write{Stream: StreamShards, Token: token, Replace: true, Records: records})
}

// compactShard replaces a long log by a snapshot. The store has applied every
// appended record, so its snapshot matches the committed position only when all
// appended records are committed.
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

// crashBucketSeconds is the length of the interval within which failure reports
// count as one crash when the target's instance is not known. The reports of a
// crash arrive within the timeout of a connection check.
const crashBucketSeconds = 10

// crashNumber identifies the crash of a target by the instance that was running,
// so that all calls that fail in one crash report the same number.
func (c *Controller) crashNumber(target domain.Target) uint64 {
	if instance, ok := c.instances[target]; ok {
		return instance
	}
	return domain.Hash64(string(target), strconv.FormatInt(c.now.Unix()/crashBucketSeconds, 10))
}
