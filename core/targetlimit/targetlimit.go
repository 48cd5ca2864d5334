// Package targetlimit keeps the requests that all gateways together send to a target within
// the rate that the target names in its answers. The coordinator runs a token bucket for
// each limited target and grants permits to the gateways that need them; a permit allows one
// request and expires soon. A gateway that reaches no coordinator issues its even part of
// the rate itself.
//
// Bound: a bucket grants at most rate*t + burstPeriod*rate + 1 requests in any time t, and each is
// sent within PermitTTL. The parts of gateways without a coordinator add up to the rate.
package targetlimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/rate"
)

const (
	// PermitTTL is the time for which a permit may be used. It spans a few reports, so that a
	// gateway with few requests has a permit when one arrives.
	PermitTTL = time.Second
	// burstPeriod is the time over which the bucket of a target collects unused requests.
	burstPeriod = 500 * time.Millisecond
	// silenceTimeout is the time without a grant after which a gateway issues its even part.
	silenceTimeout = 750 * time.Millisecond
	// demandPeriod is the time over which a gateway averages its requests to a service, and
	// demandSpan the time for which it requests permits in advance. It requests one for
	// demandRetention after a request: in a large fleet seconds pass between two.
	demandPeriod    = 2 * time.Second
	demandSpan      = 600 * time.Millisecond
	demandRetention = 8 * time.Second
	// endedRetention is the time for which the end of a limit is told to gateways. All of
	// them report within it.
	endedRetention = 10 * time.Second
	// refreshInterval is the time after which an unchanged limit is reported again.
	refreshInterval = time.Second
	// defaultGateways is the number of gateways that a gateway assumes until a coordinator
	// tells it.
	defaultGateways = 8
	// maxWanted bounds the permits that one report requests for a service.
	maxWanted = 64
)

// Observation is what an answer of a target says of its limit.
type Observation struct {
	Target domain.Target
	// Limited reports whether the answer named a limit, and PerSecond is that limit in
	// requests a second.
	Limited   bool
	PerSecond float64 `cbor:",omitempty"`
	// Age is the time since the answer.
	Age time.Duration `cbor:",omitempty"`
}

// Want requests permits for any limited target of a service.
type Want struct {
	Service string
	Permits int
	// ColdPerSecond is the limit of cold targets of the service; 0 means that none is cold. Cold
	// lists them, unless AllCold is set.
	ColdPerSecond float64         `cbor:",omitempty"`
	Cold          []domain.Target `cbor:",omitempty"`
	AllCold       bool            `cbor:",omitempty"`
}

// Permits are permits for one target.
type Permits struct {
	Target domain.Target
	N      int
}

// Report is the part of a gateway's report about limited targets.
type Report struct {
	// Sequence is that of the last grant.
	Sequence uint64 `cbor:",omitempty"`
	// DataCentre and Region are those of the gateway. They are set if permits are wanted.
	DataCentre domain.DataCentre `cbor:",omitempty"`
	Region     domain.Region     `cbor:",omitempty"`
	Observed   []Observation     `cbor:",omitempty"`
	Wanted     []Want            `cbor:",omitempty"`
	// Unused lists permits of the coordinator that expired since the last report.
	Unused []Permits `cbor:",omitempty"`
}

// Grant is the reply to Report.
type Grant struct {
	// Sequence is the sequence number of the last change of a limit. Observed lacks the
	// limits if the report had the same one.
	Sequence uint64        `cbor:",omitempty"`
	Observed []Observation `cbor:",omitempty"`
	Permits  []Permits     `cbor:",omitempty"`
}

// known is the newest observation of a target.
type known struct {
	limited   bool
	perSecond float64
	at        time.Time
}

// compare reports whether the observation n is newer than k, and whether its limit differs.
func (k *known) compare(n known) (newer, changed bool) {
	return n.at.After(k.at), k.limited != n.limited || k.perSecond != n.perSecond
}

// limitedTarget is a target with its permits at one gateway.
type limitedTarget struct {
	known
	// cold is the limit of the target while it counts as cold, otherwise 0.
	cold float64
	// reported is the time of the last report. fresh reports whether this gateway made an
	// observation since then, and changed whether that changed the limit.
	reported       time.Time
	fresh, changed bool
	// permits are the unused permits in the order in which they expire.
	permits []permit
	// debt is the number of requests that were sent without a permit.
	debt int
	// nextOwn is the time at which a gateway without a coordinator issues the next permit.
	nextOwn time.Time
	// unused is the number of expired permits of the coordinator that were not reported.
	unused int
}

// permit allows one request to a target. origin is the origin of the pool that granted it, or
// ownOrigin.
type permit struct {
	expires time.Time
	origin  uint64
}

// ownOrigin is the origin of permits that a gateway issued itself.
const ownOrigin = 0

// Gateway holds the permits of one gateway. It is not safe for concurrent use.
type Gateway struct {
	rand      *rand.Rand
	targets   map[domain.Target]*limitedTarget
	demand    map[string]*demand
	sequence  uint64
	lastGrant time.Time
	gateways  int
	// reportAll requests that the next report has all limits, because the coordinator is
	// another one.
	reportAll bool
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// coldGateways is the highest number of gateways lately, and coldGatewaysAt its time.
	coldGateways   int
	coldGatewaysAt time.Time
}

// demand is the rate of the requests to a service, and the time of the last one.
type demand struct {
	rate      rate.Average
	requested time.Time
}

// NewGateway returns a gateway that knows no limited target.
func NewGateway(r *rand.Rand) *Gateway {
	return &Gateway{rand: r, targets: map[domain.Target]*limitedTarget{}, demand: map[string]*demand{}, gateways: defaultGateways}
}

// SetGateways sets the number of gateways that share the limits; 0 means unknown and changes
// nothing.
func (g *Gateway) SetGateways(n int) {
	if n > 0 {
		g.gateways = n
	}
}

// Observe records what an answer says. limit is nil if it names no limit. It reports whether
// the limit is new or has changed.
func (g *Gateway) Observe(now time.Time, target domain.Target, limit *float64) bool {
	k := known{limited: limit != nil, at: now}
	if limit != nil {
		k.perSecond = *limit
	}
	return g.learn(target, k, true)
}

func (g *Gateway) learn(target domain.Target, k known, own bool) bool {
	t := g.targets[target]
	if t == nil {
		if !k.limited {
			return false
		}
		t = &limitedTarget{}
		g.targets[target] = t
	}
	newer, changed := t.compare(k)
	if !newer {
		return false
	}
	t.known = k
	t.fresh, t.changed = own, own && (t.changed || changed)
	if changed {
		t.nextOwn = time.Time{}
	}
	return changed
}

// Any reports whether any target has had a limit.
func (g *Gateway) Any() bool { return len(g.targets) > 0 }

// MaySend reports whether a request may be sent to the target now.
func (g *Gateway) MaySend(now time.Time, target domain.Target) bool {
	t := g.targets[target]
	if t == nil || !t.needsPermit() {
		return true
	}
	g.update(now, t)
	return len(t.permits) > 0
}

// Sent uses a permit for a request. Without one the next permit is used for it.
func (g *Gateway) Sent(now time.Time, target domain.Target) {
	t := g.targets[target]
	if t == nil || !t.needsPermit() {
		return
	}
	g.update(now, t)
	if len(t.permits) > 0 {
		t.permits = t.permits[1:]
		return
	}
	t.debt++
}

// needsPermit reports whether requests to the target need a permit.
func (t *limitedTarget) needsPermit() bool { return t.limited || t.cold > 0 }

// Wanted records a request to a service that has limited targets.
func (g *Gateway) Wanted(now time.Time, service string) {
	if !g.Any() {
		return
	}
	d := g.demand[service]
	if d == nil {
		d = &demand{rate: rate.Average{Period: demandPeriod}}
		g.demand[service] = d
	}
	d.requested = now
	d.rate.Add(now)
}

// update removes expired permits and, without a coordinator, issues the gateway's own ones.
func (g *Gateway) update(now time.Time, t *limitedTarget) {
	for len(t.permits) > 0 && !now.Before(t.permits[0].expires) {
		// The present coordinator has counted only the permits that it granted itself.
		if p := t.permits[0]; t.cold == 0 && p.origin != ownOrigin && p.origin == origin(g.sequence) {
			t.unused++
		}
		t.permits = t.permits[1:]
	}
	own := g.ownPart(t)
	if now.Sub(g.lastGrant) < own.silence || own.perSecond <= 0 {
		t.nextOwn = time.Time{}
		return
	}
	interval := time.Duration(float64(time.Second) / own.perSecond)
	if t.nextOwn.IsZero() {
		// The gateways start at different times, so that their permits are spread evenly.
		t.nextOwn = now.Add(time.Duration(g.rand.Float64() * float64(interval)))
	}
	for !now.Before(t.nextOwn) {
		if expires := t.nextOwn.Add(own.ttl); now.Before(expires) {
			t.addPermits(permit{expires, ownOrigin}, 1)
		}
		t.nextOwn = t.nextOwn.Add(interval)
	}
}

// addPermits adds n permits, the first of which are used for requests sent without one.
func (t *limitedTarget) addPermits(p permit, n int) {
	paid := min(n, t.debt)
	t.debt -= paid
	for range n - paid {
		t.permits = append(t.permits, p)
	}
}

// Report returns the report to the coordinator. services maps each listed target to its
// service.
func (g *Gateway) Report(now time.Time, services map[domain.Target]string) Report {
	out := Report{Sequence: g.sequence}
	g.reportedAt = now
	held, limited, cold := map[string]int{}, map[string]bool{}, map[string]*coldTargets{}
	for id, t := range g.targets {
		service, listed := services[id]
		if (!listed || !t.needsPermit()) && now.Sub(t.at) > endedRetention {
			delete(g.targets, id)
			continue
		}
		g.update(now, t)
		if (g.reportAll && !t.at.IsZero()) || t.changed || (t.fresh && now.Sub(t.reported) >= refreshInterval) {
			t.reported, t.fresh, t.changed = now, false, false
			out.Observed = append(out.Observed, Observation{Target: id, Limited: t.limited, PerSecond: t.perSecond, Age: now.Sub(t.at)})
		}
		if t.unused > 0 {
			out.Unused = append(out.Unused, Permits{id, t.unused})
			t.unused = 0
		}
		if t.cold > 0 {
			if cold[service] == nil {
				cold[service] = &coldTargets{perSecond: t.cold}
			}
			cold[service].ids = append(cold[service].ids, id)
		}
		if t.needsPermit() {
			limited[service] = true
			held[service] += t.held(now) - t.debt
		}
	}
	g.reportAll = false
	for service, d := range g.demand {
		if now.Sub(d.requested) >= demandRetention {
			delete(g.demand, service)
			continue
		}
		if !limited[service] {
			continue
		}
		if n := 1 + int(d.rate.PerSecond(now)*cold[service].demandSpan().Seconds()) - held[service]; n > 0 {
			w := Want{Service: service, Permits: min(n, maxWanted)}
			cold[service].describe(&w, services)
			out.Wanted = append(out.Wanted, w)
		}
	}
	return out
}

// Apply applies the coordinator's reply.
func (g *Gateway) Apply(now time.Time, grant Grant) {
	if origin(g.sequence) != origin(grant.Sequence) {
		g.reportAll = true
		for _, t := range g.targets {
			t.unused = 0
		}
	}
	g.lastGrant, g.sequence = now, grant.Sequence
	for _, o := range grant.Observed {
		g.learn(o.Target, known{o.Limited, o.PerSecond, now.Add(-o.Age)}, false)
	}
	for _, p := range grant.Permits {
		if t := g.targets[p.Target]; t != nil {
			t.addPermits(permit{g.grantedUntil(now, t), origin(grant.Sequence)}, p.N)
		}
	}
}

// Pool holds the coordinator's buckets of all limited targets. It is not safe for concurrent
// use.
type Pool struct {
	targets  map[domain.Target]*poolTarget
	sequence uint64
	// share is the part of each rate that the reporting gateways may use.
	share float64
	cold  ColdBounds
}

type poolTarget struct {
	known
	// coldRate is the rate of permits while the target is cold, and coldAt the time of the last
	// request for them.
	coldRate float64
	coldAt   time.Time
	level    float64
	filled   time.Time
}

// NewPool returns a pool without limited targets. The origin must differ from that of an
// earlier coordinator.
func NewPool(origin uint32, cold ColdBounds) *Pool {
	return &Pool{cold: cold, targets: map[domain.Target]*poolTarget{}, sequence: uint64(origin) << originShift}
}

// originShift is the number of bits of a sequence number below the origin of its pool.
const originShift = 32

func origin(sequence uint64) uint64 { return sequence >> originShift }

// refill adds what the target takes since the last time. Permits of an earlier coordinator
// may still be used, so a new bucket is empty.
func (t *poolTarget) refill(now time.Time, share float64) {
	if !t.filled.IsZero() {
		perSecond, _ := t.bucket(now)
		t.add(now, now.Sub(t.filled).Seconds()*perSecond*share)
	}
	t.filled = now
}

func (t *poolTarget) add(now time.Time, requests float64) {
	_, size := t.bucket(now)
	t.level = min(t.level+requests, size)
}

// Candidate is a target that a service has, in the order in which the gateway prefers them.
type Candidate struct {
	Target  domain.Target
	Service string
	// Distance is lower for targets that are nearer to the gateway.
	Distance int
}

// Report handles the report of a gateway and returns the reply. share is the fraction of the
// gateways that report; the others issue their part of each rate themselves.
func (p *Pool) Report(now time.Time, r Report, candidates []Candidate, share float64) Grant {
	p.share = share
	for _, o := range r.Observed {
		p.observe(now, o)
	}
	for _, u := range r.Unused {
		if t := p.targets[u.Target]; t != nil {
			t.add(now, float64(u.N))
		}
	}
	p.recordCold(now, r.Wanted, candidates)
	out := Grant{Sequence: p.sequence}
	if len(p.targets) == 0 {
		return out
	}
	if r.Sequence != p.sequence {
		out.Observed = p.observations(now)
	}
	for _, w := range r.Wanted {
		out.Permits = append(out.Permits, p.grant(now, w, candidates)...)
	}
	return out
}

func (p *Pool) observe(now time.Time, o Observation) {
	k := known{o.Limited, o.PerSecond, now.Add(-max(0, o.Age))}
	t := p.targets[o.Target]
	if t == nil {
		if !o.Limited {
			return
		}
		t = &poolTarget{}
		p.targets[o.Target] = t
	}
	newer, changed := t.compare(k)
	if !newer {
		return
	}
	if changed {
		p.sequence++
		t.refill(now, p.share) // at the former rate
	}
	t.known = k
}

func (p *Pool) observations(now time.Time) []Observation {
	var out []Observation
	for id, t := range p.targets {
		if !t.limited && !t.isCold(now) && now.Sub(t.at) > endedRetention {
			delete(p.targets, id)
			continue
		}
		if t.at.IsZero() {
			continue // cold, without a limit of its own
		}
		out = append(out, Observation{Target: id, Limited: t.limited, PerSecond: t.perSecond, Age: now.Sub(t.at)})
	}
	return out
}

// grant takes permits for a service from the buckets, one from each target in turn: the
// nearest ones first, and among them the fullest.
func (p *Pool) grant(now time.Time, w Want, candidates []Candidate) []Permits {
	type choice struct {
		Candidate
		t *poolTarget
		n int
	}
	var choices []choice
	for _, c := range candidates {
		t := p.targets[c.Target]
		if c.Service != w.Service || t == nil || (!t.limited && !w.counts(c.Target)) {
			continue
		}
		t.refill(now, p.share)
		choices = append(choices, choice{Candidate: c, t: t})
	}
	slices.SortFunc(choices, func(a, b choice) int {
		switch {
		case a.Distance != b.Distance:
			return a.Distance - b.Distance
		case a.t.level > b.t.level:
			return -1
		case a.t.level < b.t.level:
			return 1
		default:
			return 0
		}
	})
	left := min(max(0, w.Permits), maxWanted)
	for granted := true; granted && left > 0; {
		granted = false
		for i := range choices {
			if c := &choices[i]; left > 0 && c.t.level >= 1 {
				c.t.level--
				c.n++
				left--
				granted = true
			}
		}
	}
	var out []Permits
	for _, c := range choices {
		if c.n > 0 {
			out = append(out, Permits{c.Target, c.n})
		}
	}
	return out
}

// Limited returns the number of targets with a limit.
func (p *Pool) Limited() int {
	n := 0
	for _, t := range p.targets {
		if t.limited {
			n++
		}
	}
	return n
}
