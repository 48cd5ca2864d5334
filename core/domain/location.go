package domain

// Location is where a VM or a target is.
type Location struct {
	DataCentre DataCentre
	Region     Region
}

// Distance is how far apart two locations are. A smaller one means a shorter delay and a
// lower price of the bytes between them.
type Distance int

// The distances, in ascending order.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
	// Distances is the number of different distances.
	Distances
)

// DistanceTo returns the distance to another location.
func (l Location) DistanceTo(other Location) Distance {
	switch {
	case l.DataCentre == other.DataCentre:
		return SameDataCentre
	case l.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}
