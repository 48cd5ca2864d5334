package controller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/entry"
	"github.com/mangoknot/mangoknot/core/ledger"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/relay"
	"github.com/mangoknot/mangoknot/core/schedule"
	"github.com/mangoknot/mangoknot/core/shard"
	"github.com/mangoknot/mangoknot/core/share"
)

// Config holds the settings of one VM.
type Config struct {
	VM          domain.VM
	DataCentre  domain.DataCentre
	Region      domain.Region
	PeerAddress string
	// HasDisk reports that records are kept on a disk. Such a VM takes part in
	// Raft if it is a voter or is added as one.
	HasDisk bool
	// Incarnation identifies the process. It must increase with each start.
	Incarnation uint64
	// Voters are the voters with which the system is started for the first time.
	Voters []domain.VM
	// Seeds are the addresses of the VMs to contact first.
	Seeds map[domain.VM]string
	// Homes are the home data centres. If it is empty, they are the data centres
	// of the VMs that are registered when all voters have registered.
	Homes []domain.DataCentre
	// RefuseWhenCutOff makes the VM refuse keyed requests while it cannot reach
	// the leader.
	RefuseWhenCutOff bool
	Rand             *rand.Rand
	// Policy selects a baseline policy of the scheduler for experiments.
	Policy schedule.Policy
}

// Restored is the durable state of an earlier process.
type Restored struct {
	Raft      raft.Restored
	Shards    []domain.Record
	Withdrawn []config.KeyID
}

// Controller is the state machine of one entry VM. It is not safe for concurrent
// use.
type Controller struct {
	config  Config
	now     time.Time
	started time.Time
	out     Output
	// selfMessages holds the messages of this VM to itself.
	selfMessages []domain.Message

	// Raft and configuration.
	raft  *raft.Raft
	boot  bootstrap
	state *config.State
	// appliedView is the view with which the parts were last configured.
	// shardsConfigured reports whether the shard manager has been configured since
	// the process started.
	appliedView      *config.View
	shardsConfigured bool
	relay            *relay.Relay
	grantor          *shard.LeaderGrantor
	// leaderTerm is the last term in which this VM, as leader, has applied an entry
	// of that same term.
	leaderTerm raft.Term
	// proposedAt holds the time of the last proposal of each internal operation.
	proposedAt        map[string]time.Time
	lastLeaderContact time.Time

	// Fleet.
	members         *membership.Membership
	platformMembers map[domain.VM]membership.Member
	// leavingTargets are the targets that the platform will remove.
	leavingTargets map[domain.Target]bool
	// reconfigure reports that roles or limits changed and must be applied. They
	// are applied once for all events of a batch, because a takeover changes many
	// shards.
	reconfigure bool
	candidates  []shard.Candidate
	shards      *shard.Manager
	stores      map[domain.ShardID]*ownedShard
	// storedShardRecords counts the shard records written since the stream was
	// last replaced.
	storedShardRecords int
	// activated lists the newly owned shards to announce at the end of the step.
	activated []domain.ShardID

	// Calls and their limits.
	vmState   *program.VMState
	scheduler *schedule.Scheduler
	windows   map[domain.Target]*schedule.WindowManager
	// callShards holds the shard of each call that the scheduler has queued or
	// placed.
	callShards map[domain.CallID]domain.ShardID
	// instances holds the hash of the instance in each target's last load report.
	instances map[domain.Target]uint64
	root      *share.Root
	holder    *share.Holder
	admission *share.Entry
	calls     *entry.Calls
	callers   entryCalls

	// Operator requests and planned stop.
	changeTickets map[domain.OperationID][]Ticket
	voters        voterRequests
	queries       queries
	keys          keyWrites
	drainTickets  []Ticket
	draining      bool

	traffic         State
	fatal           error
	nextPeriodicRun time.Time
}

// periodicTaskInterval is the time between two runs of the periodic tasks.
const periodicTaskInterval = 200 * time.Millisecond

// New returns the state machine of an entry VM that starts with the restored
// state.
func New(c Config, restored Restored, now time.Time) *Controller {
	self := membership.Member{VM: c.VM, DataCentre: c.DataCentre, Region: c.Region, Incarnation: c.Incarnation}
	ctl := &Controller{
		config:          c,
		now:             now,
		started:         now,
		state:           config.NewState(),
		relay:           relay.New(relay.Config{Self: c.VM, Rand: c.Rand}, now),
		grantor:         shard.NewLeaderGrantor(shard.DefaultLeaseTerm),
		proposedAt:      map[string]time.Time{},
		members:         membership.New(membership.Config{Rand: c.Rand}, self, now),
		platformMembers: map[domain.VM]membership.Member{},
		leavingTargets:  map[domain.Target]bool{},
		shards:          shard.New(shard.Config{Self: c.VM, DataCentre: c.DataCentre, Incarnation: c.Incarnation, HasDisk: true}, now),
		stores:          map[domain.ShardID]*ownedShard{},
		vmState:         program.NewVMState(),
		scheduler:       schedule.New(schedule.Config{DataCentre: c.DataCentre, Region: c.Region, Rand: c.Rand, Policy: c.Policy}, now),
		windows:         map[domain.Target]*schedule.WindowManager{},
		callShards:      map[domain.CallID]domain.ShardID{},
		instances:       map[domain.Target]uint64{},
		root:            share.NewRoot(c.Rand),
		holder:          share.NewHolder(c.Rand),
		admission:       share.NewEntry(c.Rand),
		callers:         newCallers(),
		changeTickets:   map[domain.OperationID][]Ticket{},
		queries:         newQueries(),
		voters:          voterRequests{open: map[uint64]voterRequest{}},
	}
	ctl.calls = entry.New(c.VM, directory{ctl})
	ctl.shards.Restore(restored.Shards)
	ctl.startRaft(restored.Raft)
	ctl.traffic.Withdrawn = map[config.KeyID]bool{}
	ctl.applyRelay(ctl.relay.Withdraw(now, restored.Withdrawn...))
	ctl.listChanged()
	ctl.traffic.Addresses = ctl.addresses()
	ctl.publish()
	return ctl
}

// Step handles one event and returns the actions that the caller must take. A
// time before that of an earlier step is ignored.
func (c *Controller) Step(now time.Time, in Input) Output {
	if now.After(c.now) {
		c.now = now
	}
	c.handle(in)
	c.settle()
	c.publishChanges()
	out := c.out
	c.out = Output{}
	return out
}

func (c *Controller) handle(in Input) {
	switch in := in.(type) {
	case Wake:
		c.tick()
	case PeerMessage:
		c.receive(in.From, in.Body)
	case Persisted:
		c.persisted(in)
	case BeginCall:
		c.beginCall(in)
	case CallerDisconnected:
		c.callerDisconnected(in.Call)
	case FinishCall:
		c.applyEntry(c.calls.Finish(c.now, in.Finish))
	case FailCall:
		c.applyEntry(c.calls.Fail(c.now, in.Fail))
	case EndProgram:
		c.endProgram(in)
	case GetProgram:
		c.getProgram(in)
	case TargetLoad:
		c.targetLoad(in)
	case CacheChange:
		c.scheduler.CacheEvent(c.now, in.Event)
	case ReleaseDone:
		c.releaseDone(in)
	case VMList:
		c.vmList(in.Members)
	case Change:
		c.proposeChange(in)
	case WithdrawKey:
		c.withdrawKey(in)
	case Query:
		c.startQuery(in)
	case ChangeVoters:
		c.changeVoters(in)
	case Drain:
		c.startDrain(in.Ticket)
	}
}

// settle processes Raft output, role changes, placements and the VM's messages to
// itself until none are pending.
func (c *Controller) settle() {
	for {
		c.processRaft()
		c.applyRoles()
		c.dispatch()
		if len(c.selfMessages) == 0 {
			break
		}
		batch := c.selfMessages
		c.selfMessages = nil
		for _, m := range batch {
			c.receive(c.config.VM, m)
		}
	}
	c.announceOwned()
	c.finishDrain()
}

func (c *Controller) send(s domain.Send) {
	switch s.To {
	case "":
	case c.config.VM:
		c.selfMessages = append(c.selfMessages, s.Body)
	default:
		c.out.Sends = append(c.out.Sends, s)
	}
}

func (c *Controller) sendAll(sends []domain.Send) {
	for _, s := range sends {
		c.send(s)
	}
}

func (c *Controller) reply(t Ticket, body any, last bool) {
	if t != 0 {
		c.out.Replies = append(c.out.Replies, Reply{Ticket: t, Body: body, Last: last})
	}
}

func (c *Controller) log(part, text string, pairs ...any) {
	c.out.Log = append(c.out.Log, LogLine{Part: part, Text: text, Pairs: pairs})
}

// receive routes a control message to the part that handles it.
func (c *Controller) receive(from domain.VM, m domain.Message) {
	switch m := m.(type) {
	case *raft.PreVote, *raft.PreVoteReply, *raft.Vote, *raft.VoteReply, *raft.Append, *raft.AppendReply, *raft.InstallSnapshot, *raft.TimeoutNow,
		*raft.Probe, *raft.ProbeReply:
		if c.raft != nil {
			c.raft.Step(c.now, from, m)
		}
	case *relay.Follow, *relay.Report:
		// A VM that may lack committed changes accepts no followers, so that they
		// choose another parent.
		if c.raft != nil || c.current() {
			c.applyRelay(c.relay.Step(c.now, from, m))
		}
	case *relay.Entries, *relay.Snapshot, *relay.Propose, *relay.ProposeReply,
		*relay.WithdrawnDigest, *relay.WithdrawnBuckets, *relay.WithdrawnKeys:
		c.applyRelay(c.relay.Step(c.now, from, m))
	case *membership.Ping, *membership.PingRequest, *membership.Ack:
		c.applyMembership(c.members.Step(c.now, from, m))
	case *shard.LeaseRequest:
		c.applyShards(c.shards.Step(c.now, from, m))
		c.sendAll(c.grantor.HandleRequest(c.now, from, m, c.hasLeaderLease()))
	case *shard.Release:
		c.applyShards(c.shards.Step(c.now, from, m))
		c.grantor.HandleRelease(from, m)
	case *shard.LeaseGrant, *shard.Append, *shard.AppendReply, *shard.State:
		c.applyShards(c.shards.Step(c.now, from, m))
	case *ShardMessage:
		c.stepStore(m.To, m.Body)
	case *program.BeginCall, *program.FinishCall, *program.FailCall, *program.CallEnded, *program.EndProgram, *program.GetProgram:
		c.stepOwner(from, m)
	case *program.StartCall, *program.CallCommitted, *program.CallRefused, *program.CancelCall:
		c.applyEntry(c.calls.Step(c.now, from, m))
	case *program.EndProgramReply, *program.GetProgramReply:
		c.programReply(m)
	case *program.Suspicion, *program.Cleared:
		c.vmState.Step(c.now, m)
	case *share.Request, *share.Grant, *share.Donate:
		c.stepShare(from, m)
	case *schedule.PermitRequest:
		c.permitRequest(from, m)
	case *schedule.PermitGrant:
		c.scheduler.Step(c.now, from, m)
	case *BootstrapQuery:
		c.answerBootstrap(from)
	case *BootstrapReply:
		c.bootstrapReply(from, m)
	case *VoterRequest, *VoterReply:
		c.handleVoterMessage(from, m)
	case *OwnerReady:
		c.ownerReady(m)
	case *QueryMessage:
		c.answerQuery(from, m)
	case *QueryAnswer:
		c.collectAnswer(from, m)
	}
}

// Messages returns one value of each message type of this package and of the
// packages that it composes.
func Messages() []domain.Message {
	return slices.Concat(
		[]domain.Message{&ShardMessage{}, &OwnerReady{}, &BootstrapQuery{}, &BootstrapReply{}, &VoterRequest{}, &VoterReply{}, &QueryMessage{}, &QueryAnswer{}},
		raft.Messages(), relay.Messages(), membership.Messages(), shard.Messages(), program.Messages(),
		ledger.Messages(), share.Messages(), schedule.Messages(),
	)
}

// Records returns one value of each record type of this package and of the
// packages that it composes.
func Records() []domain.Record {
	return slices.Concat(
		[]domain.Record{&WithdrawnKey{}},
		config.Records(), raft.Records(), shard.Records(), program.Records(), ledger.Records(),
	)
}
