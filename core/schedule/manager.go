package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Terms of permits.
const (
	permitTerm  = 3 * time.Second
	permitRenew = time.Second
	// permitMargin shortens a term for the holder, so that clocks that differ
	// by 1% each way cannot make it outlive the manager's count.
	permitMargin = 0.98
	// orphanTerm keeps the calls of a VM that stopped renewing in the count,
	// because they may still run on the target.
	orphanTerm = 30 * time.Second
)

// permitLease is what one VM holds of a target's window.
type permitLease struct {
	want, inUse int
	seq         uint64
	forget      time.Time
	// grants lists the answers that the VM may still hold: the last one it
	// confirmed and those sent since, because an answer may be lost.
	grants []permitGrant
}

type permitGrant struct {
	seq     uint64
	permits int
	expires time.Time
}

// permits returns the most the VM can believe to hold.
func (l *permitLease) permits() int {
	most := 0
	for _, g := range l.grants {
		most = max(most, g.permits)
	}
	return most
}

// counted returns what the VM may have in flight.
func (l *permitLease) counted() int { return max(l.permits(), l.inUse) }

// WindowManager adapts the window of one target and leases its permits to the
// schedulers of all VMs. The sum of leases never exceeds the window at the time
// of a grant; a window that shrinks takes permits back at the next renewals,
// at the latest after permitTerm.
type WindowManager struct {
	target    domain.Target
	window    window
	leases    map[domain.VM]*permitLease
	exclusive domain.VM
	// startAt is the time from which permits of a predecessor have expired.
	startAt time.Time
}

// NewWindowManager returns the manager of a target. It grants nothing for one
// term, because permits of a predecessor may be in use until then.
func NewWindowManager(t TargetInfo, now time.Time) *WindowManager {
	return &WindowManager{
		target: t.Name, window: newWindow(t.MaxBatch, isService(t)),
		leases: map[domain.VM]*permitLease{}, startAt: now.Add(permitTerm * 103 / 100),
	}
}

func isService(t TargetInfo) bool { return len(t.Pools) > 0 && t.Pools[0].Service != "" }

// Window returns the current window.
func (m *WindowManager) Window() int { return m.window.permits() }

// Load applies a load report of the target.
func (m *WindowManager) Load(now time.Time, r LoadReport) { m.window.report(now, r) }

// Step answers a request for permits.
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
	// A restarted scheduler continues at a random number, farther away than
	// any late message.
	const lateWindow = 1 << 20
	if l.seq != 0 && l.seq-r.Seq < lateWindow {
		return nil
	}
	l.seq, l.want, l.inUse = r.Seq, r.Want, r.InUse
	if i := slices.IndexFunc(l.grants, func(g permitGrant) bool { return g.seq == r.Taken }); i > 0 {
		l.grants = slices.Delete(l.grants, 0, i)
	}
	m.window.observe(now, r.Sample, max(m.total(), m.wanted()))
	permits := m.grant(now, from, l, r.Exclusive)
	g := &PermitGrant{Target: m.target, Seq: r.Seq, Permits: permits, Exclusive: m.exclusive == from && m.othersIdle(from), Window: m.Window(), Total: m.total(), Term: permitTerm}
	return []domain.Send{{To: from, Body: g}}
}

// grant decides the permits of a VM and adds them to its lease.
func (m *WindowManager) grant(now time.Time, from domain.VM, l *permitLease, exclusive bool) int {
	if exclusive && m.exclusive == "" {
		m.exclusive = from
	}
	if !exclusive && m.exclusive == from {
		m.exclusive = ""
	}
	permits := 0
	if !now.Before(m.startAt) && (m.exclusive == "" || m.exclusive == from) {
		others := 0
		for vm, o := range m.leases {
			if vm != from {
				others += o.counted()
			}
		}
		permits = min(l.want, m.share(from), max(m.Window()-others, 0))
	}
	l.grants = append(l.grants, permitGrant{l.seq, permits, now.Add(permitTerm)})
	l.forget = now.Add(permitTerm + orphanTerm)
	return permits
}

// share returns the largest number of permits a VM may hold: the max-min fair
// division of the window by demand.
func (m *WindowManager) share(of domain.VM) int {
	wants := make([]int, 0, len(m.leases))
	for _, l := range m.leases {
		wants = append(wants, l.want)
	}
	slices.Sort(wants)
	rest := m.Window()
	for i, w := range wants {
		even := rest / (len(wants) - i)
		if w > even {
			return m.spread(of, even, rest%(len(wants)-i))
		}
		rest -= w
	}
	return m.Window()
}

// spread gives the permits that an even division leaves over to the first VMs
// in a fixed order, so that a window smaller than the number of VMs is used.
func (m *WindowManager) spread(of domain.VM, even, rest int) int {
	for _, vm := range slices.Sorted(maps.Keys(m.leases)) {
		if m.leases[vm].want <= even {
			continue
		}
		if rest == 0 {
			break
		}
		if vm == of {
			return even + 1
		}
		rest--
	}
	return even
}

func (m *WindowManager) total() int {
	sum := 0
	for _, l := range m.leases {
		sum += l.inUse
	}
	return sum
}

// wanted sums the demand of the VMs. A window that is smaller than the number of
// VMs is never in use as a whole, and must grow by demand.
func (m *WindowManager) wanted() int {
	sum := 0
	for _, l := range m.leases {
		sum += l.want
	}
	return sum
}

func (m *WindowManager) othersIdle(vm domain.VM) bool {
	for other, l := range m.leases {
		if other != vm && l.counted() > 0 {
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
		if !l.forget.After(now) {
			delete(m.leases, vm)
		}
	}
}
