// Package membership decides which VMs are alive. It probes by heartbeats,
// directly and through other members, and spreads changes with the probes.
package membership

import "github.com/mangoknot/mangoknot/core/domain"

// State is the state of a member.
type State int

// The states of a member. At the same incarnation a higher one overrides.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String returns the state's name.
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

// Member is a VM as this VM knows it.
type Member struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	State      State
	// Incarnation is raised by the member alone, when it refutes a suspicion or
	// changes its flags. A process must start above the one before it.
	Incarnation uint64
	Ready       bool
}

// Ping asks for an Ack. On behalf of another VM it carries that VM's name.
type Ping struct {
	Sequence uint64
	OnBehalf domain.VM
	// Fresh asks the peer adapter to use a new connection.
	Fresh   bool
	Updates []Member
}

// MessageName implements domain.Message.
func (*Ping) MessageName() string { return "membership.Ping" }

// PingRequest asks the receiver to ping the target.
type PingRequest struct {
	Sequence uint64
	Target   domain.VM
	Updates  []Member
}

// MessageName implements domain.Message.
func (*PingRequest) MessageName() string { return "membership.PingRequest" }

// Ack answers a Ping, directly or through the VM that relayed it.
type Ack struct {
	Sequence uint64
	// Target is the VM that answered; OnBehalf is the VM that wants to know.
	Target   domain.VM
	OnBehalf domain.VM
	Fresh    bool
	Updates  []Member
}

// MessageName implements domain.Message.
func (*Ack) MessageName() string { return "membership.Ack" }

// Messages lists the message types of the package for codecs.
func Messages() []domain.Message { return []domain.Message{&Ping{}, &PingRequest{}, &Ack{}} }

// Records lists the record types of the package for codecs; it has none.
func Records() []domain.Record { return nil }
