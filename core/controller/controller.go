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
	// HasDisk says that records are kept on a disk. Such a VM takes part in
	// agreement when it is a voter or is added as one.
	HasDisk bool
	// Incarnation must grow with each start of the process.
	Incarnation uint64
	// Voters is the set of the system's first start.
	Voters []domain.VM
	// Seeds are the addresses of the VMs to contact first.
	Seeds map[domain.VM]string
	// Homes are the home data centres; empty takes those of the registered VMs
	// once all voters have registered.
	Homes []domain.DataCentre
	// RefuseWhenCutOff refuses keyed requests while the leader is out of reach.
	RefuseWhenCutOff bool
	Rand             *rand.Rand
	// Policy selects a baseline of the scheduler in experiments.
	Policy schedule.Policy
}

// Restored is the durable state of an earlier process.
type Restored struct {
	Raft      raft.Restored
	Shards    []domain.Record
	Withdrawn []config.KeyID
}

// Controller is the state machine of one VM. It is not safe for concurrent
// use.
type Controller struct {
	config  Config
	now     time.Time
	started time.Time
	out     Output
	// selfMessages holds messages of this VM to itself.
	selfMessages []domain.Message

	// Agreement and configuration.
	raft  *raft.Raft
	boot  bootstrap
	state *config.State
	// appliedView is the view that the parts were last configured with, and joined
	// says that the shards have been configured since the process started.
	appliedView       *config.View
	shardsConfigured  bool
	relay             *relay.Relay
	grantor           *shard.LeaderGrantor
	leaderTerm        raft.Term
	proposedAt        map[string]time.Time
	lastLeaderContact time.Time

	// Fleet.
	members  *membership.Membership
	platform map[domain.VM]membership.Member
	// leavingTargets are those that the platform will take away.
	leavingTargets map[domain.Target]bool
	// reconfigure says that roles or limits changed in this step. They are
	// applied once at its end, because a takeover changes many shards.
	reconfigure bool
	candidates  []shard.Candidate
	shards      *shard.Manager
	stores      map[domain.ShardID]*ownedShard
	// storedShardRecords counts the shard records since the stream was replaced.
	storedShardRecords int
	// activated lists the shards to announce at the end of the step.
	activated []domain.ShardID

	// Calls and their limits.
	vmState   *program.VMState
	scheduler *schedule.Scheduler
	windows   map[domain.Target]*schedule.WindowManager
	running   map[domain.CallID]domain.ShardID
	instances map[domain.Target]uint64
	root      *share.Root
	holder    *share.Holder
	admission *share.Entry
	calls     *entry.Calls
	callers   callers

	// Operators and planned stop.
	changes  map[domain.OperationID][]Ticket
	voters   voterRequests
	queries  queries
	keys     keyWrites
	drain    []Ticket
	draining bool

	traffic         State
	fatal           error
	nextPeriodicRun time.Time
}

// periodicTaskInterval spaces the leader's looks at shard assignments.
const periodicTaskInterval = 200 * time.Millisecond

// New returns the state machine of a VM that starts with the restored state.
func New(c Config, restored Restored, now time.Time) *Controller {
	self := membership.Member{VM: c.VM, DataCentre: c.DataCentre, Region: c.Region, Incarnation: c.Incarnation}
	ctl := &Controller{
		config:         c,
		now:            now,
		started:        now,
		state:          config.NewState(),
		relay:          relay.New(relay.Config{Self: c.VM, Rand: c.Rand}, now),
		grantor:        shard.NewLeaderGrantor(shard.DefaultLeaseTerm),
		proposedAt:     map[string]time.Time{},
		members:        membership.New(membership.Config{Rand: c.Rand}, self, now),
		platform:       map[domain.VM]membership.Member{},
		leavingTargets: map[domain.Target]bool{},
		shards:         shard.New(shard.Config{Self: c.VM, DataCentre: c.DataCentre, Incarnation: c.Incarnation, HasDisk: true}, now),
		stores:         map[domain.ShardID]*ownedShard{},
		vmState:        program.NewVMState(),
		scheduler:      schedule.New(schedule.Config{DataCentre: c.DataCentre, Region: c.Region, Rand: c.Rand, Policy: c.Policy}, now),
		windows:        map[domain.Target]*schedule.WindowManager{},
		running:        map[domain.CallID]domain.ShardID{},
		instances:      map[domain.Target]uint64{},
		root:           share.NewRoot(c.Rand),
		holder:         share.NewHolder(c.Rand),
		admission:      share.NewEntry(c.Rand),
		callers:        newCallers(),
		changes:        map[domain.OperationID][]Ticket{},
		queries:        newQueries(),
		voters:         voterRequests{open: map[uint64]voterRequest{}},
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

// Step handles one event and returns what the caller has to do.
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
		c.change(in)
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

// settle handles messages of the VM to itself and starts calls until nothing
// is left to do.
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

// receive routes a control message to the part that it is for.
func (c *Controller) receive(from domain.VM, m domain.Message) {
	switch m := m.(type) {
	case *raft.PreVote, *raft.PreVoteReply, *raft.Vote, *raft.VoteReply, *raft.Append, *raft.AppendReply, *raft.InstallSnapshot, *raft.TimeoutNow,
		*raft.Probe, *raft.ProbeReply:
		if c.raft != nil {
			c.raft.Step(c.now, from, m)
		}
	case *relay.Follow, *relay.Report:
		// A VM that may lack accepted changes takes no followers, so that they
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
		c.receiveVoters(from, m)
	case *OwnerReady:
		c.ownerReady(m)
	case *QueryMessage:
		c.answerQuery(from, m)
	case *QueryAnswer:
		c.collectAnswer(from, m)
	}
}

// Messages lists the messages of this package and of all parts.
func Messages() []domain.Message {
	return slices.Concat(
		[]domain.Message{&ShardMessage{}, &OwnerReady{}, &BootstrapQuery{}, &BootstrapReply{}, &VoterRequest{}, &VoterReply{}, &QueryMessage{}, &QueryAnswer{}},
		raft.Messages(), relay.Messages(), membership.Messages(), shard.Messages(), program.Messages(),
		ledger.Messages(), share.Messages(), schedule.Messages(),
	)
}

// Records lists the records of this package and of all parts.
func Records() []domain.Record {
	return slices.Concat(
		[]domain.Record{&WithdrawnKey{}},
		config.Records(), raft.Records(), shard.Records(), program.Records(), ledger.Records(),
	)
}
