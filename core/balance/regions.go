package balance

import "github.com/mangoknot/mangoknot/core/domain"

// OutsideRegions means that the service has targets, but none that may be used in the regions
// that the request allows. Waiting does not help: the request must not run elsewhere.
const OutsideRegions Refusal = "no_target_in_allowed_regions"

// allows reports whether the region constraint of the request permits the target. A target of
// an unknown region is permitted only without a constraint.
func (r *Request) allows(s *targetState) bool { return r.Regions.Allows(s.Region) }

// allowsHome reports whether the target is one of those among which the home of a program is
// chosen: the allowed targets of the gateway's region, or all allowed targets if that region is
// not allowed. Every gateway of a region chooses among the same ones.
func (b *Balancer) allowsHome(request *Request, s *targetState) bool {
	if request.Regions.Allows(b.location.Region) {
		return s.Region == b.location.Region
	}
	return request.allows(s)
}

// Excluded reports whether the request has no target that may be used only because of its
// region constraint. Full targets, those in backoff and those that were tried may be used.
func (b *Balancer) Excluded(request Request) bool {
	if request.Regions.Unrestricted() || b.anyUsable(request) {
		return false
	}
	if len(request.Regions.Regions()) == 0 {
		return true
	}
	elsewhere := request
	elsewhere.Regions = domain.RegionConstraint{}
	return b.anyUsable(elsewhere)
}
