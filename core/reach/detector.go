// Package reach decides whether the links of a gateway to the targets work and, if they do
// not, through which other gateways it sends its requests. Such a gateway still reaches
// callers, coordinators, storage VMs and the other gateways.
//
// A failed connection alone says nothing: the target may have ended. The gateway then
// connects to a sample of targets of all services and data centres. It counts as cut off only
// if none of them answers, and as connected again as soon as most of them do.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// ProbeTimeout bounds one connection of a probe. A round trip to another region takes
	// 16 ms.
	ProbeTimeout = 400 * time.Millisecond
	// probeInterval is the minimum time between two probes of a gateway that is connected,
	// and cutOffInterval the time between two probes of one that is cut off.
	probeInterval  = time.Second
	cutOffInterval = 500 * time.Millisecond
	// probedTargets is the number of targets in a probe. minProbed is the number that must
	// have failed for a gateway to count as cut off.
	probedTargets = 5
	minProbed     = 2
	// silenceTimeout is the time without a byte of any target, while requests are in flight,
	// after which the gateway probes. Open connections may hang without an error.
	silenceTimeout = 500 * time.Millisecond
)

// Detector holds what one gateway knows of its links. It is not safe for concurrent use.
type Detector struct {
	rand      *rand.Rand
	cutOff    bool
	suspected bool
	probing   bool
	lastProbe time.Time
	// busySince is the time since which requests are in flight, or zero.
	busySince time.Time
}

// NewDetector returns a detector of a gateway that is connected.
func NewDetector(r *rand.Rand) *Detector { return &Detector{rand: r} }

// CutOff reports whether the gateway reaches no target itself.
func (d *Detector) CutOff() bool { return d.cutOff }

// Failed records that a connection to a target failed.
func (d *Detector) Failed() { d.suspected = true }

// InFlight records the number of requests at targets, and the time at which the last byte of
// any target arrived.
func (d *Detector) InFlight(now time.Time, requests int, lastByte time.Time) {
	if requests == 0 {
		d.busySince = time.Time{}
		return
	}
	if d.busySince.IsZero() {
		d.busySince = now
	}
	since := d.busySince
	if lastByte.After(since) {
		since = lastByte
	}
	if now.Sub(since) >= silenceTimeout {
		d.suspected = true
	}
}

// Probe returns the targets that the gateway connects to now, or nil. The caller passes the
// outcome to Probed.
func (d *Detector) Probe(now time.Time, list []balance.Target) []balance.Target {
	interval := probeInterval
	if d.cutOff {
		interval = cutOffInterval
	}
	if d.probing || (!d.suspected && !d.cutOff) || (!d.lastProbe.IsZero() && now.Sub(d.lastProbe) < interval) {
		return nil
	}
	sample := d.sample(list)
	if len(sample) < minProbed {
		return nil
	}
	d.probing, d.lastProbe = true, now
	return sample
}

// sample returns targets that do not leave, of as many services and data centres as
// possible, at random.
func (d *Detector) sample(list []balance.Target) []balance.Target {
	type group struct {
		service    string
		dataCentre domain.DataCentre
	}
	list = slices.DeleteFunc(slices.Clone(list), func(t balance.Target) bool { return t.Leaving })
	order := d.rand.Perm(len(list))
	var out []balance.Target
	taken := map[int]bool{}
	for len(out) < probedTargets && len(taken) < len(list) {
		groups := map[group]bool{}
		for _, i := range order {
			g := group{list[i].Service, list[i].DataCentre}
			if taken[i] || groups[g] || len(out) == probedTargets {
				continue
			}
			groups[g], taken[i] = true, true
			out = append(out, list[i])
		}
	}
	return out
}

// Probed records the outcome of a probe, and reports whether CutOff has changed.
func (d *Detector) Probed(reached, failed int) (changed bool) {
	d.probing, d.suspected = false, false
	before := d.cutOff
	switch {
	case reached == 0 && failed >= minProbed:
		d.cutOff = true
	case reached > failed:
		d.cutOff = false
	}
	return d.cutOff != before
}
