package tokens

import "time"

// Lapses holds when the advance reservations that a storage VM holds for one program lapse, by
// their writer. A gateway that ended cannot release its reservation. It could only have assigned it
// to a turn within Share.AdvanceValidity of its write, and would have recorded that.
type Lapses map[string]time.Time

// Received records that a newer version of a share was received.
func (l Lapses) Received(now time.Time, s Share) {
	if s.Advance > 0 && s.AdvanceValidity > 0 {
		l[s.Writer] = now.Add(s.AdvanceValidity + advanceLapseMargin)
	} else {
		delete(l, s.Writer)
	}
}

// Lapsed returns the writers whose advance reservations have lapsed.
func (l Lapses) Lapsed(now time.Time) []string {
	var out []string
	for writer, at := range l {
		if !now.Before(at) {
			out = append(out, writer)
		}
	}
	return out
}
