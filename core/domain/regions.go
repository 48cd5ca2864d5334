package domain

import (
	"slices"
	"strings"
)

// RegionConstraint restricts where a request may run and where its content may be stored. It is
// immutable. The zero value is no constraint.
type RegionConstraint struct {
	restricted bool
	// regions holds the allowed regions in ascending order, without duplicates.
	regions []Region
}

// NewRegionConstraint returns the constraint to the regions of a list. An empty list is no
// constraint.
func NewRegionConstraint(allowed []Region) RegionConstraint {
	if len(allowed) == 0 {
		return RegionConstraint{}
	}
	return RegionConstraint{restricted: true, regions: slices.Compact(slices.Sorted(slices.Values(allowed)))}
}

// Intersect returns the constraint that permits what both constraints permit. It may permit no
// region at all.
func (c RegionConstraint) Intersect(other RegionConstraint) RegionConstraint {
	switch {
	case !c.restricted:
		return other
	case !other.restricted:
		return c
	}
	both := slices.DeleteFunc(slices.Clone(c.regions), func(r Region) bool { return !other.Allows(r) })
	return RegionConstraint{restricted: true, regions: both}
}

// Unrestricted reports whether there is no constraint.
func (c RegionConstraint) Unrestricted() bool { return !c.restricted }

// Allows reports whether the constraint permits a region. An unknown region, "", is permitted
// only without a constraint.
func (c RegionConstraint) Allows(r Region) bool {
	return !c.restricted || (r != "" && slices.Contains(c.regions, r))
}

// Regions returns the allowed regions in ascending order. It is nil without a constraint.
func (c RegionConstraint) Regions() []Region { return slices.Clone(c.regions) }

// String returns the allowed regions separated by commas, "any" without a constraint and
// "none" if no region is allowed.
func (c RegionConstraint) String() string {
	switch {
	case !c.restricted:
		return "any"
	case len(c.regions) == 0:
		return "none"
	}
	names := make([]string, len(c.regions))
	for i, r := range c.regions {
		names[i] = string(r)
	}
	return strings.Join(names, ",")
}
