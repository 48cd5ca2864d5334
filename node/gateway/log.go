package gateway

// outcomeServed is the outcome of a request whose whole answer was passed on.
const outcomeServed = "served"

// log writes one line for each request: its inputs, the version of the
// configuration that decided it, and its outcome.
func (x *exchange) log(refusal *Refusal) {
	took := x.elapsed()
	fields := []any{"id", x.ID, "took_ms", took.Milliseconds()}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "account", x.account, "manifest", x.view.index.Manifest.Version)
	}
	if x.target != "" {
		fields = append(fields, "target", x.target, "targets_tried", len(x.tried), "sent_ms", x.sentAt.Milliseconds())
	}
	if x.Program != "" {
		fields = append(fields, "program", x.Program)
	}
	if x.turn != nil {
		fields = append(fields, "previous", x.Previous, "events", x.events, "budget", x.Budget, "most", x.Most, "ahead", x.turn.ahead)
	}
	if x.firstAt > 0 {
		fields = append(fields, "first_ms", x.firstAt.Milliseconds())
	}
	if x.rejected != nil {
		fields = append(fields, "cause", x.rejected.Error())
	}
	if refusal != nil {
		x.g.o.Metrics.Refused(refusal.Kind)
		x.g.o.Log.Info("request refused", append(fields, "reason", refusal.Error(), "not_run", refusal.NotRun)...)
		return
	}
	if x.outcome == outcomeServed {
		x.g.o.Metrics.Served(x.route.Name, took)
	}
	x.g.o.Log.Info("request "+x.outcome, fields...)
}
