package reach

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Open asks a gateway to connect to a target and to pass the bytes of the connection on in
// both directions.
type Open struct {
	// Tunnel identifies the tunnel in the logs of both gateways.
	Tunnel string
	// Request is the ID of the request for which the tunnel is opened.
	Request string
	// Target is the address of the target.
	Target string
}

// MessageName implements domain.Message.
func (*Open) MessageName() string { return "reach.Open" }

// Opened is the reply to Open. No byte was sent to the target unless Refusal is empty.
type Opened struct {
	Refusal Refusal `cbor:",omitempty"`
	// Cause is the error of a failed connection to the target.
	Cause string `cbor:",omitempty"`
}

// MessageName implements domain.Message.
func (*Opened) MessageName() string { return "reach.Opened" }

// Messages returns a value of each message type of the package, for codecs.
func Messages() []domain.Message { return []domain.Message{&Open{}, &Opened{}} }

// Refusal is the reason why a gateway does not open a tunnel.
type Refusal string

// Reasons of a gateway that does not open a tunnel.
const (
	// RefusedFull means that the gateway serves as many tunnels as it has room for.
	RefusedFull Refusal = "full"
	// RefusedCutOff means that the gateway reaches no target itself. Tunnels are not passed on.
	RefusedCutOff Refusal = "cut_off"
	// RefusedStopping means that the gateway is about to stop.
	RefusedStopping Refusal = "stopping"
	// RefusedUnknown means that the gateway's list has no target with this address.
	RefusedUnknown Refusal = "target_not_listed"
	// TargetUnreachable means that the gateway could not connect to the target.
	TargetUnreachable Refusal = "target_unreachable"
)

// MaxTunnels is the number of tunnels that a gateway serves for others at the same time.
const MaxTunnels = 128

// Host decides on the tunnels that a gateway serves for others. It is not safe for concurrent
// use.
type Host struct{ open int }

// Request counts a tunnel, or returns the reason why it is not opened. known reports whether
// the gateway's list has the target.
func (h *Host) Request(known, cutOff, stopping bool) Refusal {
	switch {
	case stopping:
		return RefusedStopping
	case cutOff:
		return RefusedCutOff
	case !known:
		return RefusedUnknown
	case h.open >= MaxTunnels:
		return RefusedFull
	}
	h.open++
	return ""
}

// Closed counts the end of a tunnel.
func (h *Host) Closed() { h.open-- }

// Route chooses the peers through which a gateway that is cut off opens tunnels. It is not
// safe for concurrent use.
type Route struct {
	// near holds the peers by their distance.
	near [domain.Distances][]Peer
	// avoided holds the peers that failed or refused, until the given times.
	avoided map[string]time.Time
	next    int
}

const (
	// maxPeersTried is the number of peers that one request tries.
	maxPeersTried = 6
	// avoidPeer is the time for which a peer that failed or refused is tried last.
	avoidPeer = time.Second
)

// SetPeers replaces the peers.
func (r *Route) SetPeers(peers []Peer) {
	r.near, r.avoided = [domain.Distances][]Peer{}, nil
	for _, p := range peers {
		if p.Distance >= 0 && p.Distance < domain.Distances {
			r.near[p.Distance] = append(r.near[p.Distance], p)
		}
	}
}

// Known reports whether there is any peer.
func (r *Route) Known() bool {
	return slices.ContainsFunc(r.near[:], func(near []Peer) bool { return len(near) > 0 })
}

// Avoid records that a peer failed or refused a tunnel.
func (r *Route) Avoid(now time.Time, address string) {
	if r.avoided == nil {
		r.avoided = map[string]time.Time{}
	}
	r.avoided[address] = now.Add(avoidPeer)
}

// Choose returns the addresses to try for one request: one peer of each distance, the nearest
// first, and then the others, each in turn. A whole data centre may be cut off, so the second
// one is of another. Peers that failed lately come last. A constrained request is only sent
// through peers in allowed regions, because its bytes pass through them; without any, the list
// is empty.
func (r *Route) Choose(now time.Time, regions domain.RegionConstraint) []string {
	r.next++
	allowed := r.allowed(regions)
	var sound, avoided []string
	for i := range peersPerDistance {
		for _, near := range allowed {
			if i >= len(near) {
				continue
			}
			address := near[(i+r.next)%len(near)].Address
			if now.Before(r.avoided[address]) {
				avoided = append(avoided, address)
			} else {
				sound = append(sound, address)
			}
		}
	}
	out := append(sound, avoided...)
	return out[:min(maxPeersTried, len(out))]
}

// Allows reports whether a request with the constraint may be sent through any peer.
func (r *Route) Allows(regions domain.RegionConstraint) bool {
	return slices.ContainsFunc(r.near[:], func(near []Peer) bool {
		return slices.ContainsFunc(near, func(p Peer) bool { return regions.Allows(p.Region) })
	})
}

// allowed returns the peers in allowed regions by their distance. A peer of an unknown region
// is in none.
func (r *Route) allowed(regions domain.RegionConstraint) [domain.Distances][]Peer {
	if regions.Unrestricted() {
		return r.near
	}
	var out [domain.Distances][]Peer
	for d, near := range r.near {
		for _, p := range near {
			if regions.Allows(p.Region) {
				out[d] = append(out[d], p)
			}
		}
	}
	return out
}
