package quorum

// Others counts the members of a set except one that is to be replaced, by their last reports. A
// member that is silent is in none of the numbers.
type Others struct {
	// Complete members use the set and hold every record acknowledged before they joined.
	Complete int
	// Incomplete members use the set and still copy. Unsettled ones do, or use another set.
	Incomplete, Unsettled int
	// Whole reports whether a complete member holds every record acknowledged before this epoch.
	Whole bool
}

// MayReplace reports whether a member may lose its seat. A silent member may come back with the
// only copy of a record beside that of the replaced one, so every acknowledged record must be on the
// other live members, and no further change may take place while one of them copies:
//   - enough of them are complete for the copy of the replacement, or
//   - one of them holds every record from before this set, and is in each write quorum of this set.
//
// A member whose disk is lost has no record to keep, so its seat waits for no silent member.
func (s *Set) MayReplace(others Others, diskLost bool) bool {
	switch {
	case others.Whole && s.InEveryQuorum(others.Incomplete):
		return true
	case others.Unsettled > 0 && !others.Whole:
		return false
	default:
		return others.Complete >= s.CopySources() || (others.Unsettled == 0 && diskLost)
	}
}
