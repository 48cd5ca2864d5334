package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Lease terms of permits.
const (
	permitTerm          = 3 * time.Second
	permitRenewInterval = time.Second
	// permitMargin shortens a term for the holder, so that the lease does not
	// outlive the manager's record of it if the clocks drift by 1% in opposite
	// directions.
	permitMargin = 0.98
	// orphanRetention is the time for which calls of a VM that stopped renewing
	// still count as in flight, because they may still run on the target.
	orphanRetention = 30 * time.Second
)

// permitLease is the part of a target's window that one VM holds.
type permitLease struct {
	want, inUse int
	seq         uint64
	removeAt    time.Time
	// grants lists the grants that the VM may be using: the last one it
	// confirmed and those sent since, because a grant may be lost.
	grants []permitGrant
}

type permitGrant struct {
	seq     uint64
	permits int
	expires time.Time
}

// permits returns the largest number of permits that the VM may hold.
func (l *permitLease) permits() int {
	largest := 0
	for _, g := range l.grants {
		largest = max(largest, g.permits)
	}
	return largest
}

// maxInFlight returns the largest number of calls that the VM may have in
// flight.
func (l *permitLease) maxInFlight() int { return max(l.permits(), l.inUse) }

// WindowManager adapts the window of one target and leases its permits to the
// schedulers of all VMs. At the time of a grant, the sum of all leases does not
// exceed the window. After a decrease of the window, permits are withdrawn at
// the next renewals, at the latest after permitTerm. A WindowManager is not
// safe for concurrent use.
type WindowManager struct {
	target    domain.Target
	window    window
	leases    map[domain.VM]*permitLease
	exclusive domain.VM
	// grantsFrom is the time at which all permits of a previous manager have
	// expired.
	grantsFrom time.Time
}

// NewWindowManager returns the window manager of a target. It grants no permits
// for one term, because permits of a previous manager may be in use until then.
func NewWindowManager(t TargetInfo, now time.Time) *WindowManager {
	return &WindowManager{
		target: t.Name, window: newWindow(t.MaxBatch, isService(t)),
		leases: map[domain.VM]*permitLease{}, grantsFrom: now.Add(permitTerm * 103 / 100),
	}
}

func isService(t TargetInfo) bool { return len(t.Pools) > 0 && t.Pools[0].Service != "" }

// Window returns the current window in calls.
func (m *WindowManager) Window() int { return m.window.permits() }

// ApplyLoadReport adapts the window to a load report of the target.
func (m *WindowManager) ApplyLoadReport(now time.Time, r LoadReport) {
	m.window.applyLoadReport(now, r)
}

// Step processes a permit request and returns the grant. Late and repeated
// requests and other messages are ignored.
func (m *WindowManager) Step(now time.Time, from domain.VM, msg domain.Message) []domain.Send {
	r, ok := msg.(*PermitRequest)
	if !ok || r.Target != m.target {
		return nil
	}
	m.expire(now)
	l := m.leases[from]
	if l == nil {
		l = &permitLease{}
		m.leases[from] = l
	}
	// A restarted scheduler starts at a random sequence number, which is
	// farther away than that of any late message.
	const lateWindow = 1 << 20
	if l.seq != 0 && l.seq-r.Seq < lateWindow {
		return nil
	}
	l.seq, l.want, l.inUse = r.Seq, r.Want, r.InUse
	if i := slices.IndexFunc(l.grants, func(g permitGrant) bool { return g.seq == r.AppliedSeq }); i > 0 {
		l.grants = slices.Delete(l.grants, 0, i)
	}
	m.window.observe(now, r.Sample, max(m.inUse(), m.demand()))
	permits := m.grant(now, from, l, r.Exclusive)
	g := &PermitGrant{Target: m.target, Seq: r.Seq, Permits: permits, Exclusive: m.exclusive == from && m.othersIdle(from), Window: m.Window(), TotalInUse: m.inUse(), Term: permitTerm}
	return []domain.Send{{To: from, Body: g}}
}

// grant determines the permits of a VM and adds them to its lease.
func (m *WindowManager) grant(now time.Time, from domain.VM, l *permitLease, exclusive bool) int {
	if exclusive && m.exclusive == "" {
		m.exclusive = from
	}
	if !exclusive && m.exclusive == from {
		m.exclusive = ""
	}
	permits := 0
	if !now.Before(m.grantsFrom) && (m.exclusive == "" || m.exclusive == from) {
		others := 0
		for vm, o := range m.leases {
			if vm != from {
				others += o.maxInFlight()
			}
		}
		permits = min(l.want, m.fairShare(from), max(m.Window()-others, 0))
	}
	l.grants = append(l.grants, permitGrant{l.seq, permits, now.Add(permitTerm)})
	l.removeAt = now.Add(permitTerm + orphanRetention)
	return permits
}

// fairShare returns the largest number of permits that a VM may hold: its share
// in the max-min fair division of the window by demand.
func (m *WindowManager) fairShare(vm domain.VM) int {
	demands := make([]int, 0, len(m.leases))
	for _, l := range m.leases {
		demands = append(demands, l.want)
	}
	slices.Sort(demands)
	remaining := m.Window()
	for i, w := range demands {
		even := remaining / (len(demands) - i)
		if w > even {
			return m.distributeRemainder(vm, even, remaining%(len(demands)-i))
		}
		remaining -= w
	}
	return m.Window()
}

// distributeRemainder returns the number of permits of recipient. Each VM gets
// even permits, and the first VMs in a fixed order get one more each until the
// remainder is used up. Without this rule, a window smaller than the number of VMs
// would not be used.
func (m *WindowManager) distributeRemainder(recipient domain.VM, even, remainder int) int {
	for _, vm := range slices.Sorted(maps.Keys(m.leases)) {
		if m.leases[vm].want <= even {
			continue
		}
		if remainder == 0 {
			break
		}
		if vm == recipient {
			return even + 1
		}
		remainder--
	}
	return even
}

func (m *WindowManager) inUse() int {
	sum := 0
	for _, l := range m.leases {
		sum += l.inUse
	}
	return sum
}

// demand returns the sum of the permits that the VMs want. A window smaller
// than the number of VMs is never fully in use, so its growth depends on the
// demand.
func (m *WindowManager) demand() int {
	sum := 0
	for _, l := range m.leases {
		sum += l.want
	}
	return sum
}

func (m *WindowManager) othersIdle(vm domain.VM) bool {
	for other, l := range m.leases {
		if other != vm && l.maxInFlight() > 0 {
			return false
		}
	}
	return true
}

func (m *WindowManager) expire(now time.Time) {
	for vm, l := range m.leases {
		l.grants = slices.DeleteFunc(l.grants, func(g permitGrant) bool { return !g.expires.After(now) })
		if len(l.grants) == 0 {
			l.want = 0
			if m.exclusive == vm {
				m.exclusive = ""
			}
		}
		if !l.removeAt.After(now) {
			delete(m.leases, vm)
		}
	}
}
