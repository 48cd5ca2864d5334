// Package membership detects failed VMs and disseminates membership changes, in
// the manner of SWIM. It probes members directly and through other members, and
// piggybacks changes on the probes.
package membership

import "github.com/mangoknot/mangoknot/core/domain"

// State is the state of a member.
type State int

// The states of a member. At the same incarnation a higher state takes precedence.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Member is an entry of the membership list: a VM as known to this VM.
type Member struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	State      State
	// Incarnation is incremented only by the member itself, when it refutes a
	// suspicion or changes its entry. A restarted process must begin with a higher
	// value than the previous one.
	Incarnation uint64
	Ready       bool
}

// Ping requests an Ack. In an indirect probe OnBehalf is the VM that requested it.
type Ping struct {
	Sequence uint64
	OnBehalf domain.VM
	// Fresh requests that the peer adapter sends the ping on a new connection.
	Fresh   bool
	Updates []Member
}

// MessageName implements domain.Message.
func (*Ping) MessageName() string { return "membership.Ping" }

// PingRequest asks the receiver to ping Target on behalf of the sender.
type PingRequest struct {
	Sequence uint64
	Target   domain.VM
	Updates  []Member
}

// MessageName implements domain.Message.
func (*PingRequest) MessageName() string { return "membership.PingRequest" }

// Ack answers a Ping, directly or through the VM that sent the indirect probe.
type Ack struct {
	Sequence uint64
	// Target is the VM that answered. OnBehalf is the VM that requested the
	// indirect probe, if any.
	Target   domain.VM
	OnBehalf domain.VM
	Fresh    bool
	Updates  []Member
}

// MessageName implements domain.Message.
func (*Ack) MessageName() string { return "membership.Ack" }

// Messages returns the message types of the package, for codecs.
func Messages() []domain.Message { return []domain.Message{&Ping{}, &PingRequest{}, &Ack{}} }

// Records returns the record types of the package, for codecs. It has none.
func Records() []domain.Record { return nil }
