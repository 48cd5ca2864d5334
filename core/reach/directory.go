package reach

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Status is what a gateway reports of itself.
type Status struct {
	// Address is where it accepts tunnels, or "".
	Address    string
	DataCentre domain.DataCentre
	Region     domain.Region
	// CutOff reports whether it reaches no target itself.
	CutOff bool `cbor:",omitempty"`
	// Peers is the sequence number of the peers that it has.
	Peers uint64 `cbor:",omitempty"`
}

func (s Status) location() domain.Location {
	return domain.Location{DataCentre: s.DataCentre, Region: s.Region}
}

// Peer is another gateway, to which tunnels may be opened.
type Peer struct {
	Address  string
	Distance domain.Distance `cbor:",omitempty"`
	// Region is the peer's region, or "" if the coordinator is of an earlier build.
	Region domain.Region `cbor:",omitempty"`
}

// Peers is the list of other gateways for one gateway.
type Peers struct {
	Sequence uint64 `cbor:",omitempty"`
	Peers    []Peer `cbor:",omitempty"`
}

const (
	// peersPerDistance is the number of peers of each distance, and beyond the gateway's own
	// region of each region. Some of them may be cut off as well, or lost.
	peersPerDistance = 4
	// statusRetention is the time without a report after which a gateway is no peer any more.
	statusRetention = 3 * time.Second
	// sweepInterval is the time between two searches for silent gateways.
	sweepInterval = time.Second
	// startDelay is the time from the start of a directory until it gives out peers. Every
	// gateway reports several times within it.
	startDelay = time.Second
)

type entry struct {
	Status
	at time.Time
}

// Directory holds the gateways that report to the leader of the coordinators. It is not safe
// for concurrent use.
type Directory struct {
	gateways map[string]entry
	// sequence changes with each change of the peers that gateways may have.
	sequence  uint64
	nextSweep time.Time
	// started is the time of the first report.
	started time.Time
}

// NewDirectory returns an empty directory. Each leader starts from another sequence number,
// so that the lists of two leaders are not confused.
func NewDirectory(sequence uint64) *Directory {
	return &Directory{gateways: map[string]entry{}, sequence: sequence}
}

// Report records the status of a gateway and returns its peers if they have changed. They are
// the nearest gateways that reach targets; each gateway gets others, so that many that are
// cut off at once do not choose the same ones.
func (d *Directory) Report(now time.Time, s Status) Peers {
	if s.Address == "" {
		return Peers{}
	}
	d.sweep(now)
	previous, known := d.gateways[s.Address]
	if !known || previous.CutOff != s.CutOff || previous.location() != s.location() {
		d.sequence++
	}
	d.gateways[s.Address] = entry{s, now}
	if d.started.IsZero() {
		d.started = now
	}
	if s.Peers == d.sequence || now.Sub(d.started) < startDelay {
		return Peers{}
	}
	return Peers{Sequence: d.sequence, Peers: d.peersOf(s)}
}

func (d *Directory) sweep(now time.Time) {
	if now.Before(d.nextSweep) {
		return
	}
	d.nextSweep = now.Add(sweepInterval)
	for address, g := range d.gateways {
		if now.Sub(g.at) > statusRetention {
			delete(d.gateways, address)
			d.sequence++
		}
	}
}

func (d *Directory) peersOf(s Status) []Peer {
	type candidate struct {
		Peer
		rank uint64
	}
	var all []candidate
	for address, g := range d.gateways {
		if address == s.Address || g.CutOff {
			continue
		}
		peer := Peer{Address: address, Distance: s.location().DistanceTo(g.location()), Region: g.Region}
		all = append(all, candidate{peer, domain.Hash64(s.Address, address)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.rank, b.rank))
	})
	var out []Peer
	type group struct {
		distance domain.Distance
		region   domain.Region
	}
	count := map[group]int{}
	for _, c := range all {
		g := group{c.Distance, c.Region}
		if count[g]++; count[g] <= peersPerDistance {
			out = append(out, c.Peer)
		}
	}
	return out
}
