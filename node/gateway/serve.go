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
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// startRetry is told to callers of a VM that has no configuration yet. It
	// receives one within a few reports of its start.
	startRetry = 300 * time.Millisecond
	// storageRetry is told to callers when no majority of the storage VMs answers.
	storageRetry = 400 * time.Millisecond
	// fullRetry is told to callers when all targets are full. It is about the time
	// of one short request.
	fullRetry = 250 * time.Millisecond
	// minRetry bounds what callers over their rate are told.
	minRetry = 50 * time.Millisecond
)

// Request is one attempt of a caller.
type Request struct {
	// ID is unique for each attempt.
	ID         string
	Host, Path string
	Key        string
	Body       []byte
	// TimeLeft is how long the caller waits; 0 means that it did not say.
	TimeLeft time.Duration
	// Object names what a plain request is about, or is ""; Parts describes the
	// prompt of a generation. Both lead to targets that hold state for them.
	Object string
	Parts  []balance.Part
	// Resume is the id of the last event that the caller has, or "".
	Resume string
	// Program, Budget, Most and Previous describe a turn: its program, the tokens
	// that all turns of the program may generate, the most that this one does,
	// and the turn that it continues.
	Program      string
	Budget, Most domain.Tokens
	Previous     string
	// ProgramLeft is the time after which the whole program should have ended; 0
	// means that the caller did not say.
	ProgramLeft time.Duration
	// Method is part of what makes two requests the same.
	Method string
	// Wire is what the front end keeps of the request for the target.
	Wire any
}

// exchange is one request while it is served. It belongs to one traffic
// goroutine.
type exchange struct {
	*Request
	g       *Gateway
	reply   port.Reply
	view    *view
	route   *manifest.Route
	service *manifest.Service
	account domain.Account
	started time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	turn     *turn
	body     []byte

	tried []domain.Target
	// runs is the number of times that a target may have run the request; ranAt
	// lists those targets, without the ones that have ended since.
	runs  int
	ranAt []domain.Target
	// returnTo is the target of the next attempt, if it is the same again.
	returnTo *balance.Target
	returns  int

	target      domain.Target
	sentAt      time.Duration
	firstAt     time.Duration
	events      int
	begun       bool
	lastID      string
	outcome     string
	fingerprint quarantine.Fingerprint
	// counted says that the request has taken one of its account's allowance.
	counted  bool
	rejected error
}

// Serve answers one request. The front end sends the refusal that it returns;
// after nil the reply is complete or broken off.
func (g *Gateway) Serve(ctx context.Context, req *Request, reply port.Reply) *Refusal {
	x := &exchange{Request: req, g: g, reply: reply, view: g.view.Load(), started: g.o.Clock.Now()}
	refusal := x.serve(ctx)
	x.returnAllowance(refusal)
	x.log(refusal)
	return refusal
}

// returnAllowance ends the use of the account's allowance. What reached no target
// is given back.
func (x *exchange) returnAllowance(refusal *Refusal) {
	if !x.counted {
		return
	}
	x.g.Deliver(func(now time.Time) {
		x.g.allowances.Ended(now, x.program())
		if refusal != nil && refusal.NotRun {
			x.g.allowances.Return(x.account)
		}
	})
}

// program identifies the program of the request; its name is empty without one.
func (x *exchange) program() tokens.Program {
	return tokens.Program{Account: x.account, Name: x.Program}
}

func (x *exchange) serve(ctx context.Context) *Refusal {
	if refusal := x.admit(ctx); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, x.timeLeft())
	defer cancel()
	x.body = x.Body
	if x.isTurn() {
		if refusal := x.prepareTurn(ctx); refusal != nil {
			return refusal
		}
	}
	refusal := x.attempts(ctx)
	x.endTurn()
	return refusal
}

// isTurn says whether the request is a turn: one whose history is kept, or of a
// program with a token budget.
func (x *exchange) isTurn() bool {
	return x.route.Kind == manifest.Stream && (x.route.StoresHistory || x.hasBudget())
}

func (x *exchange) hasBudget() bool { return x.Program != "" && x.Budget > 0 }

// admit finds the route and the client account and takes one request of its
// rate.
func (x *exchange) admit(ctx context.Context) *Refusal {
	if !x.view.complete() {
		return notRun(NoManifest, startRetry, nil)
	}
	index := x.view.index
	route, ok := index.Route(x.Host, x.Path)
	if !ok {
		return notRun(NoRoute, 0, nil)
	}
	x.route = route
	x.service, _ = index.Service(route.ChooseService(x.ID))
	if refusal := x.identify(index); refusal != nil {
		return refusal
	}
	if limit := index.Manifest.Limits.MaxBodyBytes; limit > 0 && int64(len(x.Body)) > limit {
		return notRun(BodyTooLarge, 0, nil)
	}
	x.fingerprint = x.fingerprintOf()
	if x.view.quarantined[x.fingerprint] {
		return notRun(SuspectRequest, 0, nil)
	}
	x.setDeadline()
	return x.takeAllowance(ctx)
}

// fingerprintOf identifies the request over its attempts, which have other ids.
func (x *exchange) fingerprintOf() quarantine.Fingerprint {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(x.account), []byte(x.Method), []byte(x.Host), []byte(x.Path), x.Body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return quarantine.Fingerprint(h.Sum64())
}

func (x *exchange) identify(index *manifest.Index) *Refusal {
	if len(index.Manifest.Accounts) == 0 {
		return nil
	}
	holder, ok := index.AccountByKey(x.Key)
	if !ok && !x.route.Open {
		return notRun(KeyUnknown, 0, nil)
	}
	if ok {
		x.account = holder.Name
	}
	return nil
}

func (x *exchange) setDeadline() {
	wait := x.route.Timeout
	if x.TimeLeft > 0 {
		wait = min(wait, x.TimeLeft)
	}
	x.deadline = x.started.Add(wait)
}

func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.g.o.Clock.Now()) }

func (x *exchange) takeAllowance(ctx context.Context) *Refusal {
	if x.account == "" {
		return nil
	}
	ask := allowance.Request{Program: x.program(), IsTurn: x.isTurn(), HasPrevious: x.Previous != "", TimeLeft: x.ProgramLeft}
	d, err := x.askAllowance(ctx, ask)
	switch {
	case err != nil:
		return notRun(Overloaded, minRetry, err)
	case !d.Admitted:
		return notRun(OverRate, max(minRetry, d.RetryAfter), errors.New(d.String()))
	default:
		x.counted = true
		return nil
	}
}

func (x *exchange) askAllowance(ctx context.Context, ask allowance.Request) (d allowance.Decision, err error) {
	err = x.g.Do(ctx, func(now time.Time) { d = x.g.allowances.Admit(now, ask) })
	return d, err
}

// attempts sends the request to one target after the other until one answers,
// or none may be tried any more.
func (x *exchange) attempts(ctx context.Context) *Refusal {
	for {
		target, refusal := x.pick(ctx)
		if refusal != nil {
			return refusal
		}
		again, refusal := x.attempt(ctx, target)
		if !again {
			return refusal
		}
	}
}

// pick waits for a target with a free place.
func (x *exchange) pick(ctx context.Context) (balance.Target, *Refusal) {
	if left := x.timeLeft(); left <= 0 {
		// The timer of the context stands still while the machine is suspended.
		return balance.Target{}, x.outOfTime(errNoTimeLeft)
	}
	if x.returnTo != nil {
		target := *x.returnTo
		x.returnTo = nil
		x.g.Deliver(func(time.Time) { x.g.balancer.AddInFlight(target.ID) })
		return target, nil
	}
	if len(x.tried) >= maxTargets {
		return balance.Target{}, x.noTarget(AllFull)
	}
	w := &waiter{
		ask: balance.Request{
			Service: x.service.Name, Object: x.objectKey(), Parts: x.Parts, Tried: x.tried,
			ConnectionCap: x.g.connectionCap(x.service),
		},
		priority: x.route.Priority,
		result:   make(chan pickResult, 1),
	}
	if err := x.g.Do(ctx, func(now time.Time) { x.g.pickOrWait(now, w) }); err != nil {
		x.g.giveBack(w)
		return balance.Target{}, x.ended(ctx, err)
	}
	patience := time.NewTimer(x.patience())
	defer patience.Stop()
	select {
	case r := <-w.result:
		if r.refusal != "" {
			return balance.Target{}, x.noTarget(Kind(r.refusal))
		}
		return r.target, nil
	case <-patience.C:
		x.g.giveBack(w)
		return balance.Target{}, x.noTarget(AllFull)
	case <-ctx.Done():
		x.g.giveBack(w)
		return balance.Target{}, x.ended(ctx, ctx.Err())
	}
}

// patience is how long a request waits for a free place. Beyond a quarter of
// its objective a refusal serves the caller better, because another VM may see
// free targets.
func (x *exchange) patience() time.Duration {
	return min(x.route.Objective/4, x.timeLeft())
}

func (x *exchange) noTarget(kind Kind) *Refusal {
	if x.runs > 0 {
		return &Refusal{Kind: OutcomeUnknown, Cause: x.rejected}
	}
	return notRun(kind, fullRetry, x.rejected)
}

// errNoTimeLeft is the cause of a refusal after the deadline.
var errNoTimeLeft = errors.New("the deadline has passed")

// ended is the refusal of a request whose context ended.
func (x *exchange) ended(ctx context.Context, cause error) *Refusal {
	if x.runs > 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.outOfTime(cause)
	}
	return notRun(Overloaded, minRetry, cause)
}

func (x *exchange) outOfTime(cause error) *Refusal {
	if x.runs > 0 {
		return &Refusal{Kind: TimedOut, Cause: cause}
	}
	return notRun(TimedOutNotRun, fullRetry, cause)
}

// objectKey keeps the objects of services apart.
func (x *exchange) objectKey() string {
	if x.Object == "" {
		return ""
	}
	return x.service.Name + "/" + x.Object
}
