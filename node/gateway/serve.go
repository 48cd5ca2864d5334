package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/stream"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/waiting"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// startRetryAfter is the retry-after time of a VM without a configuration.
	// The VM receives one within a few reports of its start.
	startRetryAfter = 300 * time.Millisecond
	// storageRetryAfter is the retry-after time when no majority of the storage
	// VMs answers.
	storageRetryAfter = 400 * time.Millisecond
	// fullRetryAfter is the retry-after time when all targets are full. It is
	// about the duration of one short request.
	fullRetryAfter = 250 * time.Millisecond
	// minRetryAfter is the lower bound of the retry-after time of an account
	// that exceeds its rate, and the retry-after time of an overloaded VM.
	minRetryAfter = 50 * time.Millisecond
	// memoryRetryAfter is the retry-after time when the buffers of all requests use
	// their budget. Most requests end within it.
	memoryRetryAfter = 500 * time.Millisecond
)

// Request is one attempt of a caller.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Path is without the query, which does not select a route. Query is empty if there is none.
	Host, Path, Query string
	Key               string
	Body              []byte
	// TimeLeft is the time until the caller's deadline; 0 means that the caller
	// set none.
	TimeLeft time.Duration
	// Object identifies the state that a plain request uses, or is ""; Parts
	// describes the prompt of a generation. Both route the request to targets
	// that hold this state.
	Object string
	Parts  []balance.Part
	// Resume is the id of the last event that the caller has received, or "".
	Resume string
	// ResumedStream is the id of the attempt that delivered the first event of the stream
	// that is resumed, or "".
	ResumedStream string
	// Program, Budget, MaxTokens and Previous describe a turn: its program, the
	// token budget of all turns of the program, the token limit of this turn,
	// and the id of the turn that it continues.
	Program           string
	Budget, MaxTokens domain.Tokens
	// PromptTokens is the size of the prompt of a turn with all earlier turns, or 0 if unknown.
	PromptTokens domain.Tokens
	Previous     string
	// ProgramTimeLeft is the time until the deadline of the whole program; 0
	// means that the caller set none, or that it has passed if ProgramLate is set.
	ProgramTimeLeft time.Duration
	ProgramLate     bool
	// Method is part of the request's fingerprint.
	Method string
	// Buffers accounts for the memory of the request, without Body; nil means that
	// there is no budget.
	Buffers port.Buffers
	// Wire is the data that the front end needs to encode the request for the
	// target.
	Wire any
}

// exchange is the state of one request while it is served. It belongs to one
// traffic goroutine.
type exchange struct {
	*Request
	g       *Gateway
	reply   port.Reply
	view    *view
	route   *manifest.Route
	service *manifest.Service
	// origin is where the stream began. It is nil until the first event of a new stream
	// is passed on.
	origin  *origin.Origin
	account domain.Account
	// constraint restricts where the request may run and where its content may be stored. It
	// becomes narrower with a new configuration, but never wider.
	constraint domain.RegionConstraint
	// constraintRefused is the kind of the refusal if the constraint left no target for the
	// request or for the rest of its stream, and empty otherwise.
	constraintRefused Kind
	// priority is that of the account or else of the route.
	priority int
	started  time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	turn     *turn
	body     []byte

	tried []domain.Target
	// runs is the number of attempts that a target may have run; runTargets
	// lists their targets, without those whose process has ended since.
	runs       int
	runTargets []domain.Target
	// reconnectTarget is the target of the next attempt if a stream is resumed
	// at the same target, or nil.
	reconnectTarget *balance.Target
	repeatsAtTarget int
	// stall ends the current attempt when its stream stalls. It is nil for other requests.
	stall *time.Timer

	target domain.Target
	// targetVersion is the software version of the target, or "" if it is not known.
	targetVersion string
	// tunnels are the gateways through which the target is reached; nil means directly. via
	// names the one that was used.
	tunnels []string
	via     string
	// inFlight reports whether the balancer counts the request at the target.
	inFlight bool
	sentAt   time.Duration
	firstAt  time.Duration
	events   int
	// progress is what the caller has received of the answer.
	progress *stream.Progress
	// status is the status of the last answer of a target, or 0. endsWithConnection reports
	// whether that answer has no length.
	status             int
	endsWithConnection bool
	// pace is the pace in the last answer of a target, in percent, or 0.
	pace        int
	outcome     string
	fingerprint quarantine.Fingerprint
	// allowanceTaken reports whether the request was counted against its
	// account's allowance.
	allowanceTaken bool
	// waitedFor is the reason for which the request waited for a target, and waited for how long
	// in all.
	waitedFor balance.Refusal
	waited    time.Duration
	// turnedAway tells why the request did not wait for a target any longer, or is nil.
	turnedAway *waiting.Turned[*waiter]
	// refillWait is the time for which the request waited for the refill of its account.
	refillWait time.Duration
	// memoryUsed is the fraction of the engines' usable memory that programs under way need, if it
	// limited the start of this program; otherwise 0.
	memoryUsed float64
	lastErr    error
}

// Serve serves one request. It returns the refusal that the front end has to
// send, before which nothing of the reply was sent; after nil the reply is complete or
// aborted.
func (g *Gateway) Serve(ctx context.Context, req *Request, reply port.Reply) *Refusal {
	if req.Buffers == nil {
		req.Buffers = port.UnlimitedBuffers{}
	}
	e := &exchange{Request: req, g: g, reply: reply, view: g.view.Load(), started: g.o.Clock.Now(), progress: stream.New(req.Resume)}
	var refusal *Refusal
	if !loop.Contain(g.reportPanic, func() { refusal = e.serve(ctx) }) {
		refusal = e.failed()
	}
	e.returnAllowance(refusal)
	e.log(refusal)
	if refusal != nil && e.progress.Begun() {
		// A refusal after the first event of a stream would end it like a whole one.
		e.reply.Abort()
		return nil
	}
	return refusal
}

// failed ends a request whose function panicked. A request that a target may have
// received is not refused as "not run".
func (e *exchange) failed() *Refusal {
	if e.inFlight {
		e.release(balance.Target{ID: e.target}, balance.Abandoned, nil)
	}
	if e.turn != nil {
		e.finishTurn()
	}
	switch {
	case e.progress.Begun():
		e.outcome = outcomeBrokenOff
		e.reply.Abort()
		return nil
	case e.target != "":
		return &Refusal{Kind: OutcomeUnknown, Cause: loop.ErrPanicked}
	default:
		return notRun(InternalError, 0, loop.ErrPanicked)
	}
}

// returnAllowance ends the request's use of the account's allowance. A request
// that no target has run does not count against the allowance.
func (e *exchange) returnAllowance(refusal *Refusal) {
	if !e.allowanceTaken {
		return
	}
	e.g.Deliver(func(now time.Time) {
		e.g.allowances.Ended(now, e.program())
		if refusal != nil && refusal.NotRun {
			e.g.allowances.Return(e.account)
		}
	})
}

// program returns the program of the request; its name is empty if there is
// none.
func (e *exchange) program() tokens.Program {
	return tokens.Program{Account: e.account, Name: e.Program}
}

func (e *exchange) serve(ctx context.Context) *Refusal {
	if refusal := e.admit(ctx); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeLeft())
	defer cancel()
	e.body = e.Body
	if e.isTurn() {
		if refusal := e.prepareTurn(ctx); refusal != nil {
			return refusal
		}
	}
	if e.isResumed() {
		if refusal := e.findOrigin(ctx); refusal != nil {
			e.endTurn()
			return refusal
		}
	}
	refusal := e.attempts(ctx)
	e.endTurn()
	return refusal
}

// isTurn reports whether the request is a turn: it is a stream whose history is
// stored or whose program has a token budget.
func (e *exchange) isTurn() bool {
	return e.route.Kind == manifest.Stream && (e.route.StoresHistory || e.hasBudget())
}

func (e *exchange) hasBudget() bool { return e.Program != "" && e.Budget > 0 }

// admit finds the route and the client account, checks the request against the
// limits and counts it against the account's allowance.
func (e *exchange) admit(ctx context.Context) *Refusal {
	if !e.view.complete() {
		return notRun(NoManifest, e.spread(startRetryAfter), nil)
	}
	index := e.view.index
	route, ok := index.Route(e.Host, e.Path)
	if !ok {
		return notRun(NoRoute, 0, nil)
	}
	e.route, e.priority = route, route.Priority
	e.service, _ = index.Service(route.ChooseService(e.ID))
	if refusal := e.identify(index); refusal != nil {
		return refusal
	}
	if limit := index.Manifest.Limits.MaxBodyBytes; limit > 0 && int64(len(e.Body)) > limit {
		return notRun(BodyTooLarge, 0, nil)
	}
	e.fingerprint = e.fingerprintOf()
	if e.view.quarantined[e.fingerprint] {
		return notRun(SuspectRequest, 0, nil)
	}
	if e.isResumed() && e.route.StoresHistory {
		// The events before went through another attempt, and the record would lack them.
		return notRun(TurnNotResumable, 0, nil)
	}
	if refusal := e.checkRegions(ctx); refusal != nil {
		return refusal
	}
	e.setDeadline()
	if e.view.stopping && e.deadline.After(e.view.stop.ends) {
		return notRun(Stopping, max(minRetryAfter, e.view.stop.noNewConnections.Sub(e.started)), nil)
	}
	return e.takeAllowance(ctx)
}

// spread lengthens a retry-after time by up to a half, by the id of the request. Requests
// that are refused together, such as all after a loss of the storage VMs, would otherwise
// come back together.
func (e *exchange) spread(d time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(e.ID))
	return d + d/2*time.Duration(h.Sum32()%spreadSteps)/spreadSteps
}

// spreadSteps is the number of different times that spread returns.
const spreadSteps = 1000

// fingerprintOf returns a fingerprint that is the same for all attempts of a
// request. It does not cover the id, which differs for each attempt. The previous turn stands for
// the rest of what a target gets: agents send short inputs such as "go on" in many programs. Lookups
// often differ in their query only; without one the fingerprint is that of earlier builds.
func (e *exchange) fingerprintOf() quarantine.Fingerprint {
	h := fnv.New64a()
	parts := [][]byte{[]byte(e.account), []byte(e.Method), []byte(e.Host), []byte(e.Path), e.Body, []byte(e.Previous)}
	if e.Query != "" {
		parts = append(parts, []byte(e.Query))
	}
	for _, part := range parts {
		h.Write(part)
		h.Write([]byte{0})
	}
	return quarantine.Fingerprint(h.Sum64())
}

func (e *exchange) identify(index *manifest.Index) *Refusal {
	e.constraint = manifest.Constraint(e.route, nil)
	if index.Manifest.Open {
		return nil
	}
	holder, ok := index.AccountByKey(e.Key)
	if !ok && !e.route.Open {
		return notRun(KeyUnknown, 0, nil)
	}
	if ok {
		e.account = holder.Name
		e.constraint = manifest.Constraint(e.route, holder)
		if holder.Priority != nil {
			e.priority = *holder.Priority
		}
	}
	return nil
}

func (e *exchange) setDeadline() {
	wait := e.route.Timeout
	if e.TimeLeft > 0 {
		wait = min(wait, e.TimeLeft)
	}
	e.deadline = e.started.Add(wait)
}

// programDeadline returns the time at which the program has to end, or the request's own
// deadline. The former may have passed.
func (e *exchange) programDeadline() time.Time {
	switch {
	case e.ProgramLate:
		return e.started
	case e.ProgramTimeLeft > 0:
		return e.started.Add(e.ProgramTimeLeft)
	default:
		return e.deadline
	}
}

func (e *exchange) timeLeft() time.Duration { return e.deadline.Sub(e.g.o.Clock.Now()) }

func (e *exchange) takeAllowance(ctx context.Context) *Refusal {
	if e.account == "" {
		return nil
	}
	request := allowance.Request{Program: e.program(), IsTurn: e.isTurn(), HasPrevious: e.Previous != "", TimeLeft: e.ProgramTimeLeft}
	request.MaxWait = e.maxRefillWait()
	if request.IsTurn {
		request.Kind = allowance.ProgramKindOf(e.route.Name)
		request.Memory = e.memoryNeed()
	}
	d, held, err := e.requestAllowance(request)
	if d.MemoryLevel != nil {
		e.memoryUsed = d.MemoryLevel.Used
	}
	switch {
	case err != nil:
		return notRun(Overloaded, minRetryAfter, err)
	case d.NoMemory:
		return notRun(EngineMemory, d.RetryAfter, errors.New(d.String()))
	case !d.Admitted:
		return notRun(OverRate, max(minRetryAfter, d.RetryAfter), errors.New(d.String()))
	default:
		e.allowanceTaken = true
		return e.awaitRefill(ctx, held, &d)
	}
}

// requestAllowance requests the allowance. held is set if the request has to wait until the refill
// of the account covers it.
func (e *exchange) requestAllowance(request allowance.Request) (d allowance.Decision, held *heldRequest, err error) {
	// The context of the gateway: a request that is counted after its own context has ended
	// would count for ever.
	err = e.g.Do(e.g.Context(), func(now time.Time) {
		if d = e.g.allowances.Admit(now, request); d.Admitted && d.Wait > 0 {
			held = e.hold(now, &d)
		}
	})
	return d, held, err
}

// attempts sends the request to one target after another until one answers or
// no further attempt is permitted.
func (e *exchange) attempts(ctx context.Context) *Refusal {
	for {
		target, refusal := e.pick(ctx)
		if refusal != nil {
			return refusal
		}
		retry, refusal := e.attempt(ctx, target)
		if !retry {
			return refusal
		}
	}
}

// pick waits for a target with a free slot.
func (e *exchange) pick(ctx context.Context) (balance.Target, *Refusal) {
	if left := e.timeLeft(); left <= 0 {
		// The context's timer does not run while the machine is suspended.
		return balance.Target{}, e.deadlineRefusal(errNoTimeLeft)
	}
	if e.reconnectTarget != nil {
		return e.reconnect()
	}
	if len(e.tried) >= maxTargets {
		return balance.Target{}, e.noTargetRefusal(AllFull, fullRetryAfter)
	}
	w := &waiter{
		request: balance.Request{
			Service: e.service.Name, Object: e.objectKey(), Parts: e.Parts, Program: e.Program, Tried: e.tried,
			Version: e.requiredVersion(), Regions: e.constraint, ConnectionCap: e.g.connectionCap(e.service),
		},
		work:             work{prompt: int(e.PromptTokens), output: e.MaxTokens, tokensPerEvent: e.service.TokensPerEvent},
		constraintSource: e.constraintSource(),
		waiting: waiting.Request{
			Service: e.service.Name, Priority: e.priority, Deadline: e.programDeadline(), GiveUp: e.g.o.Clock.Now().Add(e.queueTimeout()),
		},
		beginsResumable: e.beginsResumable(),
		result:          make(chan pickResult, 1),
	}
	if err := e.g.Do(ctx, func(now time.Time) { e.g.pickOrWait(now, w) }); err != nil {
		e.g.cancelWait(w)
		return balance.Target{}, e.contextRefusal(ctx, err)
	}
	queueTimer := time.NewTimer(e.queueTimeout())
	defer queueTimer.Stop()
	select {
	case r := <-w.result:
		e.constraint = r.constraint
		if r.refusal != "" {
			e.turnedAway = r.turnedAway
			return balance.Target{}, e.noTargetRefusal(Kind(r.refusal), r.retryAfter)
		}
		e.tunnels = r.tunnels
		if r.waitedFor != "" {
			e.waitedFor, e.waited = r.waitedFor, e.waited+r.waited
		}
		return r.target, nil
	case <-queueTimer.C:
		e.g.cancelWait(w)
		e.turnedAway = gaveUp(w)
		return balance.Target{}, e.noTargetRefusal(Kind(w.refusal), fullRetryAfter)
	case <-ctx.Done():
		e.g.cancelWait(w)
		return balance.Target{}, e.contextRefusal(ctx, ctx.Err())
	}
}

// reconnect returns the target at which a stream is resumed after its connection failed. It
// is refused if the target leaves or no longer has the software version that began the
// stream: the route's limit on attempts permits no other target.
func (e *exchange) reconnect() (balance.Target, *Refusal) {
	target, counted := *e.reconnectTarget, false
	e.reconnectTarget = nil
	source, kind := e.constraintSource(), NoTarget
	// The context of the gateway: a request that is counted after its own context has ended
	// would count for ever.
	err := e.g.Do(e.g.Context(), func(now time.Time) {
		e.constraint = e.g.narrow(e.constraint, &source)
		switch {
		case !e.constraint.Allows(target.Region):
			kind = NoAllowedTarget
		case e.g.noAllowedPeer(e.constraint):
			kind = NoAllowedPeer
		default:
			if counted = e.g.balancer.Reconnect(now, target, e.constraint); counted {
				e.tunnels = e.g.tunnels(now, e.constraint)
			}
		}
	})
	if err != nil || !counted {
		return balance.Target{}, e.noTargetRefusal(kind, 0)
	}
	return target, nil
}

// queueTimeout returns how long a request waits for a target. After a quarter
// of the route's objective a refusal is better for the caller, because another
// VM may have free targets.
func (e *exchange) queueTimeout() time.Duration {
	return min(e.route.Objective/4, e.timeLeft())
}

func (e *exchange) noTargetRefusal(kind Kind, retryAfter time.Duration) *Refusal {
	if isRegionRefusal(kind) {
		e.constraintRefused, retryAfter = kind, e.spread(regionRetryAfter)
	}
	if e.runs > 0 {
		return &Refusal{Kind: OutcomeUnknown, Cause: e.lastErr}
	}
	if kind == NoTarget && e.requiredVersion() != "" {
		return notRun(VersionGone, 0, e.lastErr)
	}
	return notRun(kind, retryAfter, e.lastErr)
}

// errNoTimeLeft is the cause of a refusal after the deadline.
var errNoTimeLeft = errors.New("the deadline has passed")

// contextRefusal returns the refusal of a request whose context has ended.
func (e *exchange) contextRefusal(ctx context.Context, cause error) *Refusal {
	if e.runs > 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return e.deadlineRefusal(cause)
	}
	return notRun(Overloaded, minRetryAfter, cause)
}

func (e *exchange) deadlineRefusal(cause error) *Refusal {
	if e.runs > 0 {
		return &Refusal{Kind: TimedOut, Cause: cause}
	}
	return notRun(TimedOutNotRun, fullRetryAfter, cause)
}

// objectKey returns the object qualified by its service, or "" without an
// object.
func (e *exchange) objectKey() string {
	if e.Object == "" {
		return ""
	}
	return e.service.Name + "/" + e.Object
}
