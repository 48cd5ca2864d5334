package relay

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

func (r *Relay) stepReport(now time.Time, from domain.VM, m *Report) {
	c := r.children[from]
	if c == nil {
		// A Follow was lost, or this VM restarted. The next heartbeat carries the
		// last index, by which the child detects missing entries.
		c = &child{sentIndex: r.applied}
		r.children[from] = c
	}
	c.lastSeen, c.report, c.voter = now, m, slices.Contains(r.voters(), from)
}

// tickReport sends the report to the parent, or on a voter to the leader. A voter
// forwards the summaries of other data centres unchanged.
func (r *Relay) tickReport(e *Effects) {
	to := r.parent
	if r.self.Voter {
		to = r.leader
	}
	if to == "" || to == r.cfg.Self {
		return
	}
	m := &Report{Applied: r.applied}
	if len(r.children) > 0 {
		m.Summaries = r.summaries()
	}
	e.send(to, m)
}

// summaries returns the summary of the local data centre, followed by those that
// the children reported. Only the leader has voters as children.
func (r *Relay) summaries() []Summary {
	local := Summary{DataCentre: r.self.DataCentre, Last: max(r.applied, r.parentLastIndex)}
	for _, n := range r.nodes {
		if n.DataCentre != r.self.DataCentre {
			continue
		}
		if v := r.reportedIndex(n.VM); v < local.Last {
			local.Behind = append(local.Behind, VMVersion{n.VM, v})
		}
	}
	out := []Summary{local}
	for _, vm := range r.childNames() {
		if c := r.children[vm]; c.report != nil {
			out = append(out, c.report.Summaries...)
		}
	}
	return out
}

// reportedIndex returns the applied index that a VM reported directly to this one,
// or 0.
func (r *Relay) reportedIndex(vm domain.VM) raft.Index {
	if vm == r.cfg.Self {
		return r.applied
	}
	if c := r.children[vm]; c != nil && c.report != nil {
		return c.report.Applied
	}
	return 0
}

// Versions returns the highest index that each live VM has applied according to
// the reports received by this VM. 0 means that there is no report.
func (r *Relay) Versions() []VMVersion {
	byDataCentre := map[domain.DataCentre][]Summary{}
	for _, s := range r.summaries() {
		byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s)
	}
	out := make([]VMVersion, 0, len(r.nodes))
	for _, n := range r.nodes {
		v := r.reportedIndex(n.VM)
		for _, s := range byDataCentre[n.DataCentre] {
			v = max(v, s.appliedIndex(n.VM))
		}
		out = append(out, VMVersion{n.VM, v})
	}
	return out
}

// appliedIndex returns the index that a VM of the summary's data centre has
// applied.
func (s Summary) appliedIndex(vm domain.VM) raft.Index {
	for _, b := range s.Behind {
		if b.VM == vm {
			return b.Applied
		}
	}
	return s.Last
}

// InForce splits the live VMs into those that have applied an index and those
// without a report of it. Reports of all VMs reach the leader only.
func (r *Relay) InForce(index raft.Index) (applied, missing []domain.VM) {
	for _, v := range r.Versions() {
		if v.Applied >= index {
			applied = append(applied, v.VM)
		} else {
			missing = append(missing, v.VM)
		}
	}
	return applied, missing
}
