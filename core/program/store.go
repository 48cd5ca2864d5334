package program

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
)

const (
	// maxQueuedCalls bounds the calls that are queued behind the active call of
	// a program.
	maxQueuedCalls = 64
	// maxAttempts bounds how often a repeatable call is sent to a target.
	maxAttempts = 3
	// budgetTimeout is how long a call waits for budget that is being
	// transferred to this shard.
	budgetTimeout = 2 * time.Second
	// idleTimeout is the time without a call after which a program ends. It is
	// far longer than the pause of an agent that runs a tool.
	idleTimeout = 2 * time.Hour
	// outcomeRetention is how long the outcome of a call is kept to answer
	// resends.
	outcomeRetention = 10 * time.Minute
	// endedRetention is the minimum time for which an ended program is kept. It
	// is kept longer if a target has not released its memory by then. Its name
	// can be reused afterwards.
	endedRetention = time.Hour
	// keyRetention is how long idempotency keys are kept.
	keyRetention = 24 * time.Hour
	// scanInterval is the time between two scans for idle and overdue programs,
	// and between two expirations of ended programs.
	scanInterval = 10 * time.Second
	// cancelRetryInterval and releaseRetryInterval are the times after which
	// unconfirmed CancelCall messages and release orders are sent again.
	cancelRetryInterval  = time.Second
	releaseRetryInterval = 5 * time.Second
)

// Effects is the result of a decision. The caller appends Records to the
// shard's log in order; it may use the other exported fields at once.
type Effects struct {
	Records  []domain.Record
	Sends    []domain.Send
	Outbound []ledger.Outbound
	Releases []Release
	// Ready lists calls to enqueue in the scheduler, Unready those to remove
	// from it.
	Ready   []Ready
	Unready []domain.CallID
	// Expired lists ended programs whose retention is over; their stored
	// history may be deleted.
	Expired []domain.ProgramID
	// Broadcast lists messages for all VMs.
	Broadcast []domain.Message
	// deferred holds the effects that depend on uncommitted records.
	deferred deferredEffects
}

// deferredEffects holds effects that may be used once the first count records
// are committed.
type deferredEffects struct {
	count    uint64
	sends    []domain.Send
	outbound []ledger.Outbound
	releases []Release
}

// Ready is a call that waits for a target.
type Ready struct {
	Call         domain.CallID
	Program      domain.ProgramID
	Model        domain.ModelName
	Route        string
	PromptTokens domain.Tokens
	TokenLimit   domain.Tokens
	Arrived      time.Time
	// Alone requires a target with nothing else in flight until the call ends.
	Alone bool
}

// Release orders a target to free the memory of an ended program. Epoch is the
// fencing token.
type Release struct {
	Program domain.ProgramID
	Target  domain.Target
	Epoch   domain.Epoch
}

type state uint8

// The states of a call. Only running calls have a record.
const (
	queued state = iota
	waitingForBudget
	ready
	running
)

type call struct {
	BeginCall
	program *program
	state   state
	attempt uint32
	target  domain.Target
	// mayHaveRun is set when a target may have run an earlier attempt.
	mayHaveRun     bool
	hold           ledger.Reservation
	reservation    ledger.Reservation
	budgetDeadline time.Time
	started        *CallStarted
}

type program struct {
	id              domain.ProgramID
	parent          domain.ProgramName
	started         int64 // Unix nanoseconds, like lastUsed and ended
	lastUsed, ended int64
	reason          domain.Reason
	turns           []HistoryRef
	conversation    Conversation
	targets         []domain.Target
	spent           domain.Micros
	reserved, held  domain.Micros
	budgetLimit     domain.Micros
	lastFingerprint Fingerprint
	repeats         int32
	children        int32
	active          *call
	queue           []*call
}

type keyID struct {
	program domain.ProgramID
	key     string
}

// The states of an idempotency key. A queued key has no record.
const (
	keyQueued uint8 = iota
	keyStarted
	keyDone
	keyUnknown
)

// Store holds the programs of one shard. It is not safe for concurrent use.
type Store struct {
	shard            domain.ShardID
	epoch            domain.Epoch
	active           bool
	vm               *VMState
	view             *config.View
	ledger           *ledger.Ledger
	programs         map[domain.ProgramID]*program
	calls            map[domain.CallID]*call
	keys             map[keyID]*KeyState
	done             map[domain.CallID]*DoneState
	releases         map[Release]time.Time
	cancels          map[domain.CallID]cancel
	waitingForBudget []*call
	interned         map[string]string
	doneOrder        []*DoneState
	keyOrder         []*KeyState
	endOrder         []*program
	lastScan         time.Time
	lastExpiry       time.Time
	lastTick         time.Time
	// appended and committed count the records since Activate.
	appended, committed uint64
	deferred            []deferredEffects
}

type cancel struct {
	reason domain.Reason
	sentAt time.Time
}

// New returns the empty store of a shard. A backup calls only Apply, and Tick
// to expire old state; an owner calls Activate after the last record.
func New(shard domain.ShardID, vm *VMState) *Store {
	return &Store{
		shard: shard, vm: vm, ledger: ledger.New(shard),
		programs: map[domain.ProgramID]*program{}, calls: map[domain.CallID]*call{},
		keys: map[keyID]*KeyState{}, done: map[domain.CallID]*DoneState{},
		releases: map[Release]time.Time{}, cancels: map[domain.CallID]cancel{}, interned: map[string]string{},
	}
}

// Activate makes the store decide as owner of the shard at an epoch. Queued and
// ready calls have no records; their entry VMs send BeginCall again.
func (s *Store) Activate(now time.Time, epoch domain.Epoch, v *config.View) Effects {
	s.active, s.epoch = true, epoch
	s.appended, s.committed, s.deferred = 0, 0, nil
	for _, c := range s.calls {
		s.vm.inFlightByAccount[c.Program.Account]++
		s.vm.addInFlight(c.target, c.Call, c.Fingerprint)
	}
	var e Effects
	s.configure(now, v, &e)
	s.tick(now, &e)
	return s.result(e)
}

// Deactivate ends ownership. The store must not be used afterwards; a VM that
// stays backup builds a new one from the records.
func (s *Store) Deactivate() {
	s.active = false
	for _, c := range s.calls {
		if c.state != queued {
			s.vm.inFlightByAccount[c.Program.Account]--
		}
		s.vm.removeInFlight(c.target, c.Call)
	}
}

// EntryVMs returns the entry VMs of all calls in the store. The caller compares
// them with the membership after Activate.
func (s *Store) EntryVMs() map[domain.VM]bool {
	out := map[domain.VM]bool{}
	for _, c := range s.calls {
		out[c.Entry] = true
	}
	return out
}

// Committed marks the first count records since Activate as durable and
// replicated. It returns the effects that depended on them.
func (s *Store) Committed(count uint64) Effects {
	s.committed = max(s.committed, count)
	var e Effects
	for len(s.deferred) > 0 && s.deferred[0].count <= s.committed {
		e.addDeferred(s.deferred[0])
		s.deferred[0] = deferredEffects{}
		s.deferred = s.deferred[1:]
	}
	return e
}

func (e *Effects) addDeferred(d deferredEffects) {
	e.Sends = append(e.Sends, d.sends...)
	e.Outbound = append(e.Outbound, d.outbound...)
	e.Releases = append(e.Releases, d.releases...)
}

// result defers the effects that depend on uncommitted records, including
// records of earlier decisions.
func (s *Store) result(e Effects) Effects {
	d := e.deferred
	e.deferred = deferredEffects{}
	if s.committed >= s.appended {
		e.addDeferred(d)
	} else if len(d.sends)+len(d.outbound)+len(d.releases) > 0 {
		d.count = s.appended
		s.deferred = append(s.deferred, d)
	}
	return e
}

func (s *Store) emit(e *Effects, r domain.Record) {
	s.Apply(r)
	s.appended++
	e.Records = append(e.Records, r)
}

// reply sends a message once all records so far are committed.
func (e *Effects) reply(to domain.VM, m domain.Message) {
	e.deferred.sends = append(e.deferred.sends, domain.Send{To: to, Body: m})
}

func (e *Effects) refuse(c *BeginCall, r *domain.Refusal) {
	e.reply(c.Entry, &CallRefused{Call: c.Call, Program: c.Program, Refusal: *r})
}

// addLedger adds the ledger's effects. The ledger has already applied its
// records.
func (s *Store) addLedger(e *Effects, l ledger.Effects) {
	s.appended += uint64(len(l.Records))
	e.Records = append(e.Records, l.Records...)
	e.deferred.outbound = append(e.deferred.outbound, l.Outbound...)
}

// Step handles a message of another VM or shard.
func (s *Store) Step(now time.Time, msg domain.Message) Effects {
	var e Effects
	switch m := msg.(type) {
	case *BeginCall:
		s.begin(now, m, &e)
	case *FinishCall:
		s.finish(now, m, &e)
	case *FailCall:
		s.fail(now, m, &e)
	case *CallEnded:
		s.callerGone(now, m, &e)
	case *EndProgram:
		s.endRequest(now, m, &e)
	case *GetProgram:
		s.get(m, &e)
	default:
		s.addLedger(&e, s.ledger.Step(now, msg))
		s.retryBudget(now, &e)
	}
	return s.result(e)
}

// Ledger returns the shard's ledger, for forecasts and reports.
func (s *Store) Ledger() *ledger.Ledger { return s.ledger }

// Tick repeats unconfirmed messages, ends idle and overdue programs, and
// expires old state. A store that is not active only expires state.
func (s *Store) Tick(now time.Time) Effects {
	var e Effects
	if s.active {
		s.tick(now, &e)
	}
	s.expire(now, &e)
	return s.result(e)
}

// NextWake returns the time at which Tick must be called next.
func (s *Store) NextWake() time.Time {
	wake := s.ledger.NextWake()
	if len(s.releases)+len(s.cancels)+len(s.waitingForBudget) > 0 {
		return earlier(wake, s.lastTick.Add(cancelRetryInterval))
	}
	return earlier(wake, s.lastScan.Add(scanInterval))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// intern returns one shared copy of equal strings. Without it, each decoded
// record would keep its own copy of the account, model and target names.
func (s *Store) intern(v string) string {
	if known, ok := s.interned[v]; ok {
		return known
	}
	s.interned[v] = v
	return v
}

// forSelfAndAncestors calls f for the program and then for each of its
// ancestors.
func (s *Store) forSelfAndAncestors(p *program, f func(*program)) {
	for p != nil {
		f(p)
		p = s.parentOf(p)
	}
}

func (s *Store) parentOf(p *program) *program {
	if p.parent == "" {
		return nil
	}
	return s.programs[domain.ProgramID{Account: p.id.Account, Name: p.parent}]
}

// budget returns the limit on the spend of a program and its descendants.
func (s *Store) budget(p *program) domain.Micros {
	var budget domain.Micros
	if spec := s.view.Account(p.id.Account); spec != nil {
		budget = spec.ProgramBudget
	}
	if p.parent != "" && p.started != 0 {
		return min(budget, p.budgetLimit)
	}
	return budget
}

// remaining returns the amount that the program may still reserve: the minimum
// of what is left of its own budget and of each ancestor's budget.
func (s *Store) remaining(p *program) domain.Micros {
	left := s.budget(p)
	s.forSelfAndAncestors(p, func(q *program) { left = min(left, s.budget(q)-q.spent-q.reserved-q.held) })
	return left
}
