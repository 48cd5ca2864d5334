package gateway

import "github.com/mangoknot/mangoknot/core/quorum"

// Outcomes of requests: the answer was forwarded completely, or it broke off.
const (
	outcomeServed    = "served"
	outcomeBrokenOff = "broken_off"
)

// log writes one line for each request, with its inputs, the version of the
// manifest that applied, and its outcome.
func (e *exchange) log(refusal *Refusal) {
	took := e.elapsed()
	fields := []any{"id", e.ID, "took_ms", took.Milliseconds()}
	if e.route != nil {
		fields = append(fields, "route", e.route.Name, "account", e.account, "manifest", e.view.index.Manifest.Version)
	}
	if !e.constraint.Unrestricted() {
		fields = append(fields, "allowed_regions", e.constraint.String())
	}
	if e.constraintRefused != "" {
		fields = append(fields, "constraint_refused", e.constraintRefused)
		e.g.o.Metrics.RegionRefused(e.constraintRefused)
	}
	if e.waitedFor != "" {
		fields = append(fields, "waited_for", e.waitedFor, "waited_ms", e.waited.Milliseconds())
	}
	fields = append(fields, e.logTurnedAway()...)
	if e.target != "" {
		fields = append(fields, "target", e.target, "targets_tried", len(e.tried), "sent_ms", e.sentAt.Milliseconds())
	}
	if e.via != "" {
		fields = append(fields, "via", e.via)
	}
	if e.targetVersion != "" {
		fields = append(fields, "version", e.targetVersion)
	}
	if e.Resume != "" {
		fields = append(fields, "resumed_stream", e.ResumedStream, "after_event", e.Resume, "required_version", e.requiredVersion())
	}
	if e.status != 0 {
		fields = append(fields, "status", e.status)
	}
	if e.refillWait > 0 {
		fields = append(fields, "refill_wait_ms", e.refillWait.Milliseconds())
	}
	if e.memoryUsed != 0 {
		fields = append(fields, "engine_memory_used", e.memoryUsed)
	}
	if e.pace != 0 {
		fields = append(fields, "pace", e.pace)
	}
	if e.endsWithConnection {
		fields = append(fields, "ends_with_connection", true)
	}
	if c := e.progress.LatestContinuation(); c.Count > 0 {
		fields = append(fields, "continuations", c.Count, "continued_after", c.After, "continued_with", c.With)
	}
	if e.Program != "" {
		fields = append(fields, "program", e.Program)
	}
	if e.turn != nil {
		fields = append(fields, "previous", e.Previous, "events", e.events, "budget", e.Budget, "most", e.MaxTokens, "ahead", e.turn.fromAdvance)
		if scope, ok := e.turn.placement.Write(); scope != quorum.Global || !ok {
			fields = append(fields, "storage_region", scope)
		}
	}
	if e.firstAt > 0 {
		fields = append(fields, "first_ms", e.firstAt.Milliseconds())
	}
	if e.lastErr != nil {
		fields = append(fields, "cause", e.lastErr.Error())
	}
	if refusal != nil {
		e.g.o.Metrics.Refused(refusal.Kind)
		e.g.o.Log.Info("request refused", append(fields, "reason", refusal.Error(), "not_run", refusal.NotRun)...)
		return
	}
	if e.outcome == outcomeServed {
		e.g.o.Metrics.Served(e.route.Name, took)
	}
	e.g.o.Log.Info("request "+e.outcome, fields...)
}
