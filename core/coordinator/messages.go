// Package coordinator is the replicated state machine of the coordinators. It
// replicates the manifest and the set of storage VMs through core/raft, and replaces
// failed voters and storage VMs without an operator. It also maintains the list of
// targets and counts allowances. It does no I/O.
package coordinator

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/evacuation"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/core/targetlimit"
)

// VMAddress returns the peer address in the ID of a coordinator. The ID has the form
// address/disk, so that a VM that lost its disk is a different voter.
func VMAddress(vm domain.VM) string {
	address, _, _ := strings.Cut(string(vm), "/")
	return address
}

// hostOf returns the host of a peer address. Processes of different roles on one VM
// have the same host and different ports.
func hostOf(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[:i]
	}
	return address
}

// NewVM returns the ID of a coordinator with the given peer address and disk.
func NewVM(address, disk string) domain.VM { return domain.VM(address + "/" + disk) }

// PutDocument is the command that replaces the manifest. It has no effect unless its
// version is higher than the current one.
type PutDocument struct{ Document manifest.Document }

// RecordName implements domain.Record.
func (*PutDocument) RecordName() string { return "coordinator.PutDocument" }

// PutStores is the command that replaces the set of storage VMs. It has no effect
// unless its epoch is the current one plus 1, or there is no set yet. Regional replaces the set of
// a region instead; Set is then empty, which builds from before regional sets ignore.
type PutStores struct {
	Set      *quorum.Set
	Regional *quorum.Set `cbor:",omitempty"`
}

// RecordName implements domain.Record.
func (*PutStores) RecordName() string { return "coordinator.PutStores" }

// Retirement identifies a storage VM that is permanently removed from the set. A
// coordinator on the same host is removed from the voters and learners as well.
type Retirement struct{ Name, Host string }

// RetireStore is the command that retires a storage VM.
type RetireStore struct{ Retirement Retirement }

// RecordName implements domain.Record.
func (*RetireStore) RecordName() string { return "coordinator.RetireStore" }

// State is the replicated state. It is also the content of a snapshot.
type State struct {
	Document manifest.Document
	Stores   *quorum.Set
	// Retired lists the VMs that must no longer be members.
	Retired []Retirement
	// Gateways is the approximate number of gateways. While no leader is reachable, each
	// gateway divides the allowances by it.
	Gateways int
	// Evacuations holds the orders to evacuate data centres. It is independent of Document.
	Evacuations *evacuation.State `cbor:",omitempty"`
	// Constrained reports whether a document with a region constraint was ever in force.
	Constrained bool `cbor:",omitempty"`
	// Regional holds the sets of the regions. It is empty before such a document.
	Regional []*quorum.Set `cbor:",omitempty"`
}

// retired reports whether the storage VM with this name has been retired.
func (s *State) retired(name string) bool {
	return slices.ContainsFunc(s.Retired, func(r Retirement) bool { return r.Name == name })
}

// retiredHost reports whether a coordinator runs on the host of a retired storage VM, so
// that it must no longer be a voter or learner.
func (s *State) retiredHost(vm domain.VM) bool {
	host := hostOf(VMAddress(vm))
	return slices.ContainsFunc(s.Retired, func(r Retirement) bool { return r.Host == host })
}

// retire adds a retirement. It reports whether the VM was not retired before.
func (s *State) retire(r Retirement) bool {
	if s.retired(r.Name) {
		return false
	}
	s.Retired = append(slices.Clone(s.Retired), r)
	return true
}

// merge takes the newer parts of another applied state.
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
	s.Evacuations = evacuation.Newer(s.Evacuations, other.Evacuations)
	if other.Gateways > 0 {
		s.Gateways = other.Gateways
	}
	s.Constrained = s.Constrained || other.Constrained
	for _, set := range other.Regional {
		s.putRegional(set)
	}
}

// PutGateways is the command that sets the approximate number of gateways.
type PutGateways struct{ Gateways int }

// RecordName implements domain.Record.
func (*PutGateways) RecordName() string { return "coordinator.PutGateways" }

// RecordName implements domain.Record.
func (*State) RecordName() string { return "coordinator.State" }

// Identity records the ID of a coordinator's disk. Voters is the initial set of voters,
// which is not in the log before the first election.
type Identity struct {
	VM     domain.VM
	Voters []domain.VM
}

// RecordName implements domain.Record.
func (*Identity) RecordName() string { return "coordinator.Identity" }

// Records returns a value of each record type of the package, for codecs.
func Records() []domain.Record {
	return []domain.Record{&PutDocument{}, &PutStores{}, &RetireStore{}, &PutGateways{}, &PutEvacuation{}, &State{}, &Identity{}}
}

// StoreStatus is the status that a storage VM reports.
type StoreStatus struct {
	ID         quorum.StoreID
	Name       string
	DataCentre domain.DataCentre
	Region     domain.Region
	// Epoch is the epoch of the set that the VM has adopted. Complete reports whether the
	// VM has copied the records of the other members.
	Epoch    domain.Epoch
	Complete bool
	// Whole is the newest epoch for which the VM holds every record that was acknowledged
	// before it, or 0.
	Whole domain.Epoch `cbor:",omitempty"`
	// New reports whether the disk was empty within the last SuccessorWindow: the VM was
	// added, or it lost its disk.
	New bool `cbor:",omitempty"`
	// Regional is the status in the set of the VM's region. It is nil on builds without regional
	// sets and on VMs of an unknown region.
	Regional *SetStatus `cbor:",omitempty"`
}

// Report is sent by each gateway and storage VM to the leader, once per
// allowance.ReportInterval.
type Report struct {
	// Process is the ID of the process, in the form address/start. Each start has
	// another ID.
	Process string
	// Gateway reports whether the process serves callers.
	Gateway bool
	Store   *StoreStatus
	// Document, Stores and Targets are the versions that the process already has.
	Document manifest.Version
	Stores   domain.Epoch
	Targets  uint64
	Counts   allowance.Counts
	Crashes  []quarantine.Crash
	// Served lists the suspected requests that targets have answered.
	Served []quarantine.Fingerprint `cbor:",omitempty"`
	Limits targetlimit.Report
	// Leaving holds the targets that said in an answer that they leave, while the process's
	// list does not show it.
	Leaving []domain.Target `cbor:",omitempty"`
	// Cold holds the targets that said in an answer that they are cold, likewise.
	Cold []balance.ColdTarget `cbor:",omitempty"`
	// Reach is the state of a gateway's links to the targets.
	Reach reach.Status
	// Evacuations is the revision of the evacuations that the gateway applies.
	Evacuations uint64 `cbor:",omitempty"`
	// Constrained reports whether a gateway's document has a region constraint, and Regional
	// names the regional sets that it has.
	Constrained bool         `cbor:",omitempty"`
	Regional    []SetVersion `cbor:",omitempty"`
}

// MessageName implements domain.Message.
func (*Report) MessageName() string { return "coordinator.Report" }

// View is the reply to Report. It holds the parts that are newer than the versions in
// the report.
type View struct {
	// Authoritative reports whether the sender is the leader under its lease.
	Authoritative bool
	// Leader is the peer address of the leader, or "".
	Leader string
	// Coordinators lists the peer addresses of all voters and learners.
	Coordinators []string
	Document     *manifest.Document
	// NewerDocument is the version of a newer document that is too large for the reply, or
	// 0. It is read with ReadDocument.
	NewerDocument manifest.Version `cbor:",omitempty"`
	Stores        *quorum.Set
	Targets       *TargetList
	// TargetsCurrent reports whether Targets, or the list that the process has, is current.
	TargetsCurrent bool `cbor:",omitempty"`
	// TargetsAge is the time since the sender began to read that list.
	TargetsAge time.Duration `cbor:",omitempty"`
	Allowances allowance.Totals
	// Quarantined lists the requests that must not run again.
	Quarantined []quarantine.Fingerprint
	// Suspected lists the requests whose answers the process has to report, and Cleared those whose
	// crashes it has to forget.
	Suspected []quarantine.Fingerprint `cbor:",omitempty"`
	Cleared   []quarantine.Fingerprint `cbor:",omitempty"`
	Limits    targetlimit.Grant
	// Peers are the gateways through which the process may reach targets.
	Peers reach.Peers
	// Evacuations holds the decided orders if they are newer than the revision in the report.
	// It does not need a leader.
	Evacuations *evacuation.State `cbor:",omitempty"`
	// Regional holds the sets of regions that are newer than those of the report.
	Regional []*quorum.Set `cbor:",omitempty"`
	// LacksSet reports that the sender has an older set of the storage VM's region than the VM.
	LacksSet bool `cbor:",omitempty"`
}

// MessageName implements domain.Message.
func (*View) MessageName() string { return "coordinator.View" }

// ReadDocument requests the part of the newest document that begins at Offset. Version is the
// version of the part before it, or that of the report's reply.
type ReadDocument struct {
	Version manifest.Version
	Offset  int
}

// MessageName implements domain.Message.
func (*ReadDocument) MessageName() string { return "coordinator.ReadDocument" }

// DocumentPart is the reply to ReadDocument: a part of the document with the newest version
// that the coordinator has, and the size of the whole in bytes. Data is empty if the
// requested version is another one.
type DocumentPart struct {
	Version      manifest.Version
	Size, Offset int
	Data         []byte
}

// MessageName implements domain.Message.
func (*DocumentPart) MessageName() string { return "coordinator.DocumentPart" }

// TargetList is the platform's list of targets as a coordinator last read it.
type TargetList struct {
	// Sequence changes with the content; 0 means no list. Each coordinator starts from a
	// random number, so that the lists of two coordinators have different numbers.
	Sequence uint64
	Targets  []balance.Target
	// Former holds the software versions that left within origin.FormerPeriod. Complete
	// reports whether the coordinator has read the list for that long.
	Former   []origin.Origin `cbor:",omitempty"`
	Complete bool            `cbor:",omitempty"`
}

// Join requests that the leader add a coordinator as a learner.
type Join struct{ VM domain.VM }

// MessageName implements domain.Message.
func (*Join) MessageName() string { return "coordinator.Join" }

// JoinReply is the reply to Join.
type JoinReply struct {
	// Leader is the peer address of the leader, or "".
	Leader   string
	Accepted bool
}

// MessageName implements domain.Message.
func (*JoinReply) MessageName() string { return "coordinator.JoinReply" }

// Envelope carries a raft message. A VM that restarted with another disk discards the
// messages that are addressed to its previous ID.
type Envelope struct {
	From, To domain.VM
	Body     domain.Message
}

// MessageName implements domain.Message.
func (*Envelope) MessageName() string { return "coordinator.Envelope" }

// IsLarge reports whether the message carries a document that is too large for the reply to
// a report.
func (e *Envelope) IsLarge() bool {
	switch m := e.Body.(type) {
	case *raft.InstallSnapshot:
		state, ok := m.Snapshot.Data.(*State)
		return ok && len(state.Document.Raw) > maxReplyDocument
	case *raft.Append:
		return slices.ContainsFunc(m.Entries, func(entry raft.Entry) bool {
			put, ok := entry.Data.(*PutDocument)
			return ok && len(put.Document.Raw) > maxReplyDocument
		})
	default:
		return false
	}
}

// Validate returns an error if the body is missing or malformed.
func (e *Envelope) Validate() error {
	if e.Body == nil {
		return errNoBody
	}
	if v, ok := e.Body.(domain.Validator); ok {
		return v.Validate()
	}
	return nil
}

// errNoBody is returned for an envelope without a message.
var errNoBody = errors.New("coordinator: the envelope has no body; check that all VMs run compatible versions")

// Received is the reply to Envelope.
type Received struct{}

// MessageName implements domain.Message.
func (*Received) MessageName() string { return "coordinator.Received" }

// Messages returns a value of each message type of the package, for codecs.
func Messages() []domain.Message {
	return []domain.Message{&Report{}, &View{}, &ReadDocument{}, &DocumentPart{}, &Join{}, &JoinReply{}, &Envelope{}, &Received{}}
}

// Timing and limits of repairs.
const (
	// repairInterval is the time between two checks for something to repair.
	repairInterval = 200 * time.Millisecond
	// voterLostAfter is the time without a message after which a voter is replaced by a
	// learner that has caught up. It is longer than an election or a short freeze.
	voterLostAfter = 1500 * time.Millisecond
	// storeLostAfter is the time without a report after which a storage VM counts as
	// silent. It is then replaced by its successor: a VM that has just been added, or the
	// same VM with another disk. The rest of the allowed repair time is for the copy.
	storeLostAfter = 1200 * time.Millisecond
	// spareReplacesAfter is the time without a report after which a member is replaced by
	// a VM that has been a spare all along. A machine that is frozen, cut off or restarted
	// is back earlier, with its records.
	spareReplacesAfter = 10 * time.Second
	// SuccessorWindow is the time for which a VM that was added counts as a successor.
	SuccessorWindow = 10 * time.Second
	// joinRequestTTL is the time for which a join request is valid.
	joinRequestTTL = 1500 * time.Millisecond
	// learnerRemovedAfter is the time without a message after which a learner is removed.
	learnerRemovedAfter = 10 * time.Second
	// firstSetTimeout is the time for which a leader waits for enough storage VMs for the
	// configured tolerance before it forms the first set from fewer.
	firstSetTimeout = 6 * time.Second
	// regionSettleTime is the time after an election for which a leader waits for all storage VMs of
	// a region before it forms the region's first set from fewer than wanted. Others count as silent
	// then, and join later.
	regionSettleTime = storeLostAfter
	// listInterval is the time between two reads of the platform's list of targets. The
	// list lags by up to 0.8 s, and a leaving target must not receive work after 3 s.
	listInterval = time.Second
	// listMaxAge is the age up to which a coordinator without a leader distributes its
	// list of targets.
	listMaxAge = origin.MaxListAge
	// gatewayCountDelay is the time after an election before the leader proposes a number
	// of gateways. Every gateway reports several times within it.
	gatewayCountDelay = 3 * time.Second
	// gatewayCountTolerance is the relative change in the number of gateways up to which
	// no log entry is proposed.
	gatewayCountTolerance = 0.25
	// maxReplyDocument is the size in bytes up to which a document is part of the reply to a
	// report. A larger one is read in parts of documentPartBytes.
	maxReplyDocument  = 8 << 10
	documentPartBytes = 32 << 10
	// entriesPerSnapshot is the number of applied entries between two snapshots.
	entriesPerSnapshot = 64
)
