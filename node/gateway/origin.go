package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/node/loop"
)

// originMargin is the time by which the record of a stream's origin outlives the deadline of
// the stream. Callers may resume it until their own, later deadline.
const originMargin = 30 * time.Second

// errNoStreamID is the cause of a refusal if the caller does not name the stream.
var errNoStreamID = errors.New("the request does not name the attempt that began the stream")

// isResumed reports whether the caller resumes a stream that it has received in part.
func (e *exchange) isResumed() bool { return e.route.Kind == manifest.Stream && e.Resume != "" }

// requiredVersion returns the software version to which the request is restricted, or "" if
// there is none.
func (e *exchange) requiredVersion() string {
	if e.origin == nil {
		return ""
	}
	return e.origin.Version
}

// versions is what the gateway knows of the software versions that were listed. It belongs
// to the control goroutine.
type versions struct {
	history origin.History
	// reportedAt is the time of the last report. What a coordinator answers is at least as
	// new, however late the answer is applied.
	reportedAt time.Time
	// former holds the versions that left lately by the history of the coordinators, and is
	// nil if that is not long enough.
	former map[origin.Origin]bool
}

func (g *Gateway) applyVersions(now time.Time, v *coordinator.View) {
	if v.Targets != nil {
		g.versions.former = nil
		if v.Targets.Complete {
			g.versions.former = map[origin.Origin]bool{}
			for _, o := range v.Targets.Former {
				g.versions.former[o] = true
			}
		}
	}
	age := v.TargetsAge
	if !v.TargetsCurrent {
		age = max(age, origin.MaxListAge+1) // builds from before do not tell the age
	}
	readAt := g.versions.reportedAt.Add(-age)
	switch {
	case v.Targets != nil:
		g.versions.history.Listed(now, readAt, balance.Origins(g.targetList))
	case v.TargetsCurrent:
		g.versions.history.Confirmed(readAt)
	}
}

// beginsResumable reports whether the request begins a stream that callers may resume.
func (e *exchange) beginsResumable() bool {
	return e.route.Kind == manifest.Stream && e.route.Resumable && e.requiredVersion() == ""
}

// findOrigin finds the service and the software version that began the stream which the
// caller resumes. Without it the stream is not resumed: the caller would get a text that is
// joined from two versions.
func (e *exchange) findOrigin(ctx context.Context) *Refusal {
	recorded, err := e.recordedOrigins(ctx)
	o, ok := recorded.Origin()
	if !recorded.Any() {
		o, ok = e.onlyOrigin(ctx)
	}
	switch {
	case ok && e.route.Allows(o.Service):
		e.origin = &o
		e.service, _ = e.view.index.Service(o.Service)
		return nil
	case ok:
		return notRun(VersionGone, 0, nil)
	case err == nil || errors.Is(err, errNoStreamID):
		return notRun(OriginUnknown, 0, err)
	default:
		return notRun(StorageUnavailable, e.spread(storageRetryAfter), err)
	}
}

// onlyOrigin returns the origin of a stream without a record, if only one software version
// can have begun it.
func (e *exchange) onlyOrigin(ctx context.Context) (o origin.Origin, ok bool) {
	service := e.route.Splits[0].Service
	if len(e.route.Splits) > 1 {
		if e.ResumedStream == "" {
			return origin.Origin{}, false
		}
		service = e.route.ChooseService(e.ResumedStream)
	}
	// The caller may have sent the first attempt as long ago as an attempt may last.
	period := 2 * max(e.route.Timeout, e.TimeLeft)
	err := e.g.Do(ctx, func(now time.Time) {
		o, ok = e.g.versions.history.Only(now, service, period, e.g.versions.former)
	})
	return o, ok && err == nil
}

// recordedOrigins asks the storage VMs for the origin of the stream that the caller resumes:
// a majority, and all of them as long as none has a record.
func (e *exchange) recordedOrigins(ctx context.Context) (merge origin.Merge, err error) {
	if e.ResumedStream == "" {
		return merge, errNoStreamID
	}
	lookup := &origin.Lookup{Stream: origin.Stream{Account: e.account, ID: e.ResumedStream}}
	answered := 0
	set := e.g.view.Load().stores
	collect := func(a storeAnswer) (bool, error) {
		reply, ok := a.reply.(*origin.LookupReply)
		if !ok {
			return false, nil
		}
		answered++
		merge.Add(reply)
		return answered >= set.Majority() && merge.Any(), nil
	}
	message := func(bool) domain.Message { return lookup }
	err = e.g.queryMembers(ctx, memberQuery{set: set, initialMembers: set.Majority(), message: message, collect: collect})
	if answered >= set.Majority() || merge.Any() {
		err = nil
	}
	return merge, err
}

// recordOrigin records where a new stream begins, when its first event is passed on. From
// then on the stream continues only at the same software version.
func (e *exchange) recordOrigin() {
	if e.origin != nil || e.route.Kind != manifest.Stream {
		return
	}
	e.origin = &origin.Origin{Service: e.service.Name, Version: e.targetVersion}
	if !e.route.Resumable || e.targetVersion == "" {
		return
	}
	m := &origin.Register{
		Stream: origin.Stream{Account: e.account, ID: e.ID}, Origin: *e.origin,
		Retention: max(e.route.Timeout, e.TimeLeft) + originMargin,
	}
	go e.g.registerOrigin(m)
}

// registerOrigin sends the record to the nearest majority of the storage VMs. A lost record
// makes the stream impossible to resume, so the first event does not wait for it.
func (g *Gateway) registerOrigin(m *origin.Register) {
	ctx, cancel := context.WithTimeout(g.Context(), storeTimeout)
	defer cancel()
	set, stored := g.view.Load().stores, 0
	collect := func(a storeAnswer) (bool, error) {
		stored++
		return stored >= set.Majority(), nil
	}
	message := func(bool) domain.Message { return m }
	var err error
	loop.Contain(g.reportPanic, func() {
		err = g.queryMembers(ctx, memberQuery{set: set, initialMembers: set.Majority(), message: message, collect: collect})
	})
	if err != nil {
		g.o.Log.Info("the origin of a stream was not recorded; its caller cannot resume it at another gateway", "id", m.Stream.ID, "error", err.Error())
	}
}
