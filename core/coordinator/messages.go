// Package coordinator is the state machine of the VMs that agree: it replicates
// the manifest and the set of storage VMs through core/raft, replaces voters and
// storage VMs that are lost without an operator, keeps the list of targets, and
// counts allowances. It does no I/O.
package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
)

// VMAddress returns the peer address inside the identity of a coordinator. The
// identity is address/disk: a VM that lost its disk is another voter.
func VMAddress(vm domain.VM) string {
	address, _, _ := strings.Cut(string(vm), "/")
	return address
}

// hostOf returns the host of a peer address. Roles on the same VM have the same
// host and different ports.
func hostOf(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[:i]
	}
	return address
}

// NewVM returns the identity of a disk at an address.
func NewVM(address, disk string) domain.VM { return domain.VM(address + "/" + disk) }

// PutDocument is the command that replaces the manifest.
type PutDocument struct{ Document manifest.Document }

// RecordName implements domain.Record.
func (*PutDocument) RecordName() string { return "coordinator.PutDocument" }

// PutStores is the command that replaces the set of storage VMs. It has no
// effect unless its epoch follows the current one.
type PutStores struct{ Set *quorum.Set }

// RecordName implements domain.Record.
func (*PutStores) RecordName() string { return "coordinator.PutStores" }

// Retirement is a storage VM that is emptied for good. A coordinator on the same
// host gives up its place as well.
type Retirement struct{ Name, Host string }

// RetireStore is the command that empties a storage VM.
type RetireStore struct{ Retirement Retirement }

// RecordName implements domain.Record.
func (*RetireStore) RecordName() string { return "coordinator.RetireStore" }

// State is what the log decides. It is also the content of a snapshot.
type State struct {
	Document manifest.Document
	Stores   *quorum.Set
	// Retired lists the VMs that must not be members any more.
	Retired []Retirement
	// Gateways is about the number of gateways. They divide the allowances by it
	// while no leader counts.
	Gateways int
}

// retired says whether a storage VM must not be a member any more.
func (s *State) retired(name string) bool {
	return slices.ContainsFunc(s.Retired, func(r Retirement) bool { return r.Name == name })
}

// retiredHost says whether the VM of a coordinator must not be a voter or a
// learner any more.
func (s *State) retiredHost(vm domain.VM) bool {
	host := hostOf(VMAddress(vm))
	return slices.ContainsFunc(s.Retired, func(r Retirement) bool { return r.Host == host })
}

func (s *State) retire(r Retirement) bool {
	if s.retired(r.Name) {
		return false
	}
	s.Retired = append(slices.Clone(s.Retired), r)
	return true
}

// merge keeps what is newer of two decided states.
func (s *State) merge(other State) {
	if other.Document.Version > s.Document.Version {
		s.Document = other.Document
	}
	if other.Stores != nil && (s.Stores == nil || other.Stores.Epoch > s.Stores.Epoch) {
		s.Stores = other.Stores
	}
	for _, r := range other.Retired {
		s.retire(r)
	}
	if other.Gateways > 0 {
		s.Gateways = other.Gateways
	}
}

// PutGateways is the command that records about how many gateways there are.
type PutGateways struct{ Gateways int }

// RecordName implements domain.Record.
func (*PutGateways) RecordName() string { return "coordinator.PutGateways" }

// RecordName implements domain.Record.
func (*State) RecordName() string { return "coordinator.State" }

// Identity names the disk of a coordinator. Voters is the first set, which the
// log names only after a leader was elected.
type Identity struct {
	VM     domain.VM
	Voters []domain.VM
}

// RecordName implements domain.Record.
func (*Identity) RecordName() string { return "coordinator.Identity" }

// Records lists the record types of the package for codecs.
func Records() []domain.Record {
	return []domain.Record{&PutDocument{}, &PutStores{}, &RetireStore{}, &PutGateways{}, &State{}, &Identity{}}
}

// StoreStatus is what a storage VM says of itself.
type StoreStatus struct {
	ID         quorum.StoreID
	Name       string
	DataCentre domain.DataCentre
	Region     domain.Region
	// Epoch is the set that it follows, Complete whether it has copied the records
	// of the others.
	Epoch    domain.Epoch
	Complete bool
}

// Report is sent by each gateway and storage VM to the leader, every
// allowance.ReportInterval.
type Report struct {
	// Process is unique for each start of a process.
	Process string
	// Gateway says that the process serves callers.
	Gateway bool
	Store   *StoreStatus
	// What the process already has.
	Document manifest.Version
	Stores   domain.Epoch
	Targets  uint64
	Counts   allowance.Counts
	Crashes  []quarantine.Crash
}

// MessageName implements domain.Message.
func (*Report) MessageName() string { return "coordinator.Report" }

// View answers Report with what is newer than the report says.
type View struct {
	// Authoritative says that the answer comes from the leader under its lease.
	Authoritative bool
	// Leader is the peer address of the leader, or "".
	Leader string
	// Coordinators lists the peer addresses of all voters and learners.
	Coordinators []string
	Document     *manifest.Document
	Stores       *quorum.Set
	Targets      *TargetList
	Allowances   allowance.Totals
	// Quarantined lists the requests that must not run any more.
	Quarantined []quarantine.Fingerprint
}

// MessageName implements domain.Message.
func (*View) MessageName() string { return "coordinator.View" }

// TargetList is the platform's list as the leader read it.
type TargetList struct {
	// Sequence changes when the content does; 0 is no list. A new leader starts
	// from a random number, so that lists of two leaders do not look the same.
	Sequence uint64
	Targets  []balance.Target
}

// Join asks the leader to admit a coordinator.
type Join struct{ VM domain.VM }

// MessageName implements domain.Message.
func (*Join) MessageName() string { return "coordinator.Join" }

// JoinReply answers Join.
type JoinReply struct {
	// Leader is the peer address of the leader, or "".
	Leader   string
	Accepted bool
}

// MessageName implements domain.Message.
func (*JoinReply) MessageName() string { return "coordinator.JoinReply" }

// Envelope carries a raft message. A VM that came back with another disk drops
// what was meant for the voter that it was.
type Envelope struct {
	From, To domain.VM
	Body     domain.Message
}

// MessageName implements domain.Message.
func (*Envelope) MessageName() string { return "coordinator.Envelope" }

// Received answers Envelope.
type Received struct{}

// MessageName implements domain.Message.
func (*Received) MessageName() string { return "coordinator.Received" }

// Messages lists the message types of the package for codecs.
func Messages() []domain.Message {
	return []domain.Message{&Report{}, &View{}, &Join{}, &JoinReply{}, &Envelope{}, &Received{}}
}

// Timing of repairs.
const (
	// repairInterval is the time between two looks for something to repair.
	repairInterval = 200 * time.Millisecond
	// voterLostAfter is the silence after which a voter is exchanged for a learner
	// that has caught up. It exceeds an election and a short freeze.
	voterLostAfter = 1500 * time.Millisecond
	// storeLostAfter is the silence after which a storage VM is exchanged for a
	// spare one. It leaves most of the repair time to the copy.
	storeLostAfter = 1200 * time.Millisecond
	// joinRequestTTL is the age up to which a request to join counts.
	joinRequestTTL = 1500 * time.Millisecond
	// learnerRemovedAfter is the silence after which a learner is dropped.
	learnerRemovedAfter = 10 * time.Second
	// firstSetTimeout is the time that a leader waits for more storage VMs before it
	// forms the first set from fewer than the tolerance asks for.
	firstSetTimeout = 6 * time.Second
	// listInterval is the time between two reads of the platform's list. The list
	// lags by up to 0.8 s and a leaving target must get nothing after 3 s.
	listInterval = time.Second
	// listMaxAge is the age up to which a list that was read without a leader is
	// passed on.
	listMaxAge = 2500 * time.Millisecond
	// gatewayCountDelay is the time after which a new leader has heard of all
	// gateways, several reports.
	gatewayCountDelay = 3 * time.Second
	// gatewayCountTolerance is the relative change of the number of gateways that is
	// not worth an entry of the log.
	gatewayCountTolerance = 0.25
	// entriesPerSnapshot is the number of applied entries between two snapshots.
	entriesPerSnapshot = 64
)
