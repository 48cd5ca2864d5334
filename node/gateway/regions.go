package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

// regionRetryAfter is the retry-after time of a request that has no target in its allowed
// regions. The list of targets is read every second.
const regionRetryAfter = time.Second

// noAllowedPeer is NoAllowedPeer among the refusals of the choice of a target.
const noAllowedPeer = balance.Refusal(NoAllowedPeer)

// errNoRegion is the cause of a refusal if no region is allowed.
var errNoRegion = errors.New("the route and the account have no allowed region in common")

// isRegionRefusal reports whether a region constraint is the cause of a refusal.
func isRegionRefusal(kind Kind) bool { return kind == NoAllowedTarget || kind == NoAllowedPeer }

// constraintSource tells from which configuration a region constraint comes, and how to find the
// constraint of the same request in another one.
type constraintSource struct {
	index      *manifest.Index
	host, path string
	account    domain.Account
}

func (e *exchange) constraintSource() constraintSource {
	return constraintSource{index: e.view.index, host: e.Host, path: e.Path, account: e.account}
}

// narrow returns the constraint with that of the configuration in force added, if it has changed
// since. A request that waits or is sent again while the configuration changes must satisfy
// both. It runs on the control goroutine.
func (g *Gateway) narrow(c domain.RegionConstraint, source *constraintSource) domain.RegionConstraint {
	index := g.view.Load().index
	if index == source.index {
		return c
	}
	source.index = index
	route, ok := index.Route(source.host, source.path)
	if !ok {
		return c
	}
	return c.Intersect(index.ConstraintOf(route, source.account))
}

// noAllowedPeer reports whether requests are sent through other gateways, and none of those is
// in a region that the constraint allows.
func (g *Gateway) noAllowedPeer(c domain.RegionConstraint) bool {
	return g.usesTunnels() && !g.links.route.Allows(c)
}

// narrowByChain adds the constraints of the routes of the earlier turns, whose content the request
// has in its body. A route of another constraint may continue a turn of the same account. The
// configuration in force tells the constraints, not the one under which a turn was stored, so that
// an operator can move an account to other regions.
func (e *exchange) narrowByChain(ctx context.Context, chain []*turnstore.Turn) *Refusal {
	index := e.view.index
	if !index.Constrained {
		return nil
	}
	before := e.constraint.String()
	for _, t := range chain {
		if t.Route == "" || t.Route == e.route.Name {
			continue
		}
		if route, ok := index.RouteByName(t.Route); ok {
			e.constraint = e.constraint.Intersect(index.ConstraintOf(route, e.account))
		}
	}
	if e.constraint.String() == before {
		return nil
	}
	if refusal := e.checkRegions(ctx); refusal != nil {
		return refusal
	}
	e.turn.placement = e.placement()
	return e.checkStorage()
}

// checkRegions refuses a request whose constraint leaves no target, before its earlier turns are
// read and its tokens are reserved. A stream that is resumed is checked when its service is
// known.
func (e *exchange) checkRegions(ctx context.Context) *Refusal {
	if e.constraint.Unrestricted() || e.isResumed() {
		return nil
	}
	if len(e.constraint.Regions()) == 0 {
		e.lastErr = errNoRegion
		return e.noTargetRefusal(NoAllowedTarget, 0)
	}
	excluded := false
	request := balance.Request{Service: e.service.Name, Regions: e.constraint}
	err := e.g.Do(ctx, func(time.Time) { excluded = e.g.balancer.Excluded(request) })
	if err != nil {
		return notRun(Overloaded, minRetryAfter, err)
	}
	if excluded {
		return e.noTargetRefusal(NoAllowedTarget, 0)
	}
	return nil
}
