package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/raft"
)

// queryTimeout limits the wait for the answers of other VMs.
const queryTimeout = 2 * time.Second

// QuestionKind is the kind of a report.
type QuestionKind int

// The reports.
const (
	QuestionStatus QuestionKind = iota
	QuestionInForce
	QuestionSpend
	QuestionForecast
	QuestionPrograms
)

// Question describes a requested report. Version is used by QuestionInForce,
// Preset by QuestionForecast and Account by QuestionPrograms.
type Question struct {
	Kind    QuestionKind
	Version uint64
	Preset  config.PresetName
	Account domain.Account
}

// Spend holds the charges and reservations of one account in the current month,
// and the number of its calls with an unknown outcome. It covers the shards of one
// VM, or of all VMs in a combined answer.
type Spend struct {
	Account  domain.Account
	Charged  domain.Micros
	Reserved domain.Micros
	Unknown  int
}

// AccountForecast is the budget forecast of one account, from the owner of its
// root shard.
type AccountForecast struct {
	Account  domain.Account
	Forecast ledger.Forecast
}

// ProgramSummary describes one program for operators.
type ProgramSummary struct {
	Owner   domain.VM
	Shard   domain.ShardID
	Summary program.Summary
}

// VMStatus is the state of a VM as known by the VM that answers. Version is its
// applied configuration version and Shards the number of shards that it owns.
type VMStatus struct {
	Member  membership.Member
	Version uint64
	Shards  int
}

// Status is the state of the system as known by the VM that answers.
type Status struct {
	Leader              domain.VM
	Term                uint64
	Voters              []domain.VM
	VMs                 []VMStatus
	UnassignedShards    int
	ShardsWithoutBackup int
	CallsInFlight       int
}

// Answer is the reply to a question. Only the fields for the kind of the question
// and Missing are set.
type Answer struct {
	Status   Status
	InForce  []domain.VM
	NotYet   []domain.VM
	Spend    []Spend
	Forecast []AccountForecast
	Programs []ProgramSummary
	// Missing lists VMs that did not answer in time.
	Missing []domain.VM
}

// QueryMessage sends a question to another VM.
type QueryMessage struct {
	Request  uint64
	Question Question
}

// MessageName implements domain.Message.
func (*QueryMessage) MessageName() string { return "controller.QueryMessage" }

// QueryAnswer is the reply to a QueryMessage.
type QueryAnswer struct {
	Request uint64
	Answer  Answer
}

// MessageName implements domain.Message.
func (*QueryAnswer) MessageName() string { return "controller.QueryAnswer" }

type pendingQuery struct {
	ticket     Ticket
	startedAt  time.Time
	unanswered map[domain.VM]bool
	combined   Answer
}

type queries struct {
	next uint64
	open map[uint64]*pendingQuery
}

func newQueries() queries { return queries{open: map[uint64]*pendingQuery{}} }

// startQuery answers a question from this VM's state and, where other VMs hold
// parts of the answer, queries them.
func (c *Controller) startQuery(in Query) {
	q := &pendingQuery{ticket: in.Ticket, startedAt: c.now, unanswered: map[domain.VM]bool{}}
	var others []domain.VM
	switch in.Question.Kind {
	case QuestionStatus:
		others = c.remoteLeader()
		q.combined.Status = c.status()
	case QuestionInForce:
		others = c.remoteLeader()
		q.combined.InForce, q.combined.NotYet = c.inForce(in.Question.Version)
	default:
		q.combined = c.localAnswer(in.Question)
		others = c.otherVMs()
	}
	c.queries.next++
	c.queries.open[c.queries.next] = q
	for _, vm := range others {
		q.unanswered[vm] = true
		c.send(domain.Send{To: vm, Body: &QueryMessage{Request: c.queries.next, Question: in.Question}})
	}
	c.finishQuery(c.queries.next)
}

// remoteLeader returns the leader unless it is this VM. Only the leader receives
// the versions that all VMs have applied.
func (c *Controller) remoteLeader() []domain.VM {
	if leader := c.leader(); leader != "" && leader != c.config.VM {
		return []domain.VM{leader}
	}
	return nil
}

func (c *Controller) otherVMs() []domain.VM {
	var out []domain.VM
	for _, spec := range c.state.View().VMs() {
		if spec.Name != c.config.VM && c.members.Alive(spec.Name) {
			out = append(out, spec.Name)
		}
	}
	return out
}

func (c *Controller) answerQuery(from domain.VM, m *QueryMessage) {
	c.send(domain.Send{To: from, Body: &QueryAnswer{Request: m.Request, Answer: c.localAnswer(m.Question)}})
}

func (c *Controller) collectAnswer(from domain.VM, m *QueryAnswer) {
	q := c.queries.open[m.Request]
	if q == nil || !q.unanswered[from] {
		return
	}
	delete(q.unanswered, from)
	q.combined.merge(&m.Answer)
	c.finishQuery(m.Request)
}

// merge adds the answer of another VM. The lists of versions in force, which come
// from the leader, replace those of this VM.
func (a *Answer) merge(other *Answer) {
	a.Spend = append(a.Spend, other.Spend...)
	a.Forecast = append(a.Forecast, other.Forecast...)
	a.Programs = append(a.Programs, other.Programs...)
	if len(other.InForce)+len(other.NotYet) > 0 {
		a.InForce, a.NotYet = other.InForce, other.NotYet
	}
	for i, vm := range a.Status.VMs {
		for _, known := range other.Status.VMs {
			if known.Member.VM == vm.Member.VM {
				a.Status.VMs[i].Version = max(vm.Version, known.Version)
			}
		}
	}
}

func (c *Controller) finishQuery(id uint64) {
	q := c.queries.open[id]
	if len(q.unanswered) > 0 && c.now.Sub(q.startedAt) < queryTimeout {
		return
	}
	delete(c.queries.open, id)
	for vm := range q.unanswered {
		q.combined.Missing = append(q.combined.Missing, vm)
	}
	slices.Sort(q.combined.Missing)
	q.combined.Spend = sumSpend(q.combined.Spend)
	slices.SortFunc(q.combined.Forecast, func(a, b AccountForecast) int { return cmp.Compare(a.Account, b.Account) })
	c.reply(q.ticket, q.combined, true)
}

func (c *Controller) expireQueries() {
	for id := range c.queries.open {
		c.finishQuery(id)
	}
}

// sumSpend returns the totals of all VMs for each account.
func sumSpend(parts []Spend) []Spend {
	totals := map[domain.Account]Spend{}
	for _, p := range parts {
		t := totals[p.Account]
		t.Account = p.Account
		t.Charged += p.Charged
		t.Reserved += p.Reserved
		t.Unknown += p.Unknown
		totals[p.Account] = t
	}
	out := make([]Spend, 0, len(totals))
	for _, t := range totals {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Spend) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// localAnswer answers a question from the state of this VM.
func (c *Controller) localAnswer(q Question) Answer {
	switch q.Kind {
	case QuestionInForce:
		applied, pending := c.inForce(q.Version)
		return Answer{InForce: applied, NotYet: pending}
	case QuestionSpend:
		return Answer{Spend: c.localSpend()}
	case QuestionForecast:
		return Answer{Forecast: c.localForecast(q.Preset)}
	case QuestionPrograms:
		return Answer{Programs: c.localPrograms(q.Account)}
	default:
		return Answer{Status: c.status()}
	}
}

// inForce returns the VMs that have applied the version and those that have not.
// The latter include the registered VMs of which the relay has no report.
func (c *Controller) inForce(version uint64) (applied, pending []domain.VM) {
	applied, pending = c.relay.InForce(raft.Index(version))
	for _, spec := range c.state.View().VMs() {
		if !slices.Contains(applied, spec.Name) && !slices.Contains(pending, spec.Name) {
			pending = append(pending, spec.Name)
		}
	}
	return applied, pending
}

func (c *Controller) localSpend() []Spend {
	month := ledger.MonthOf(c.now)
	var out []Spend
	for _, account := range c.state.View().Accounts() {
		total := Spend{Account: account.Name}
		for _, owned := range c.stores {
			total.Charged += owned.store.Ledger().Charged(account.Name, month)
			total.Reserved += owned.store.Ledger().Reserved(account.Name, month)
			total.Unknown += owned.store.UnknownOutcomes(account.Name)
		}
		out = append(out, total)
	}
	return out
}

func (c *Controller) localForecast(name config.PresetName) []AccountForecast {
	view := c.state.View()
	preset, ok := view.PresetByName(name)
	if !ok {
		return nil
	}
	var out []AccountForecast
	for _, account := range view.Accounts() {
		root, err := ledger.RootShard(view, account.Name)
		if err != nil || c.stores[root] == nil {
			continue
		}
		if f, ok := c.stores[root].store.Ledger().Forecast(c.now, account.Name, &preset); ok {
			out = append(out, AccountForecast{Account: account.Name, Forecast: f})
		}
	}
	return out
}

// maxListedPrograms is the maximum number of programs that one VM lists.
const maxListedPrograms = 1000

func (c *Controller) localPrograms(account domain.Account) []ProgramSummary {
	var out []ProgramSummary
	for _, id := range c.ownedIDs() {
		for _, summary := range c.stores[id].store.Programs(account, maxListedPrograms-len(out)) {
			out = append(out, ProgramSummary{Owner: c.config.VM, Shard: id, Summary: summary})
		}
	}
	return out
}

func (c *Controller) status() Status {
	view := c.state.View()
	s := Status{Leader: c.leader(), Voters: view.Voters(), CallsInFlight: c.calls.Len()}
	if c.raft != nil {
		s.Term = uint64(c.raft.Status().Term)
	}
	shards := map[domain.VM]int{}
	for _, dc := range view.DataCentres() {
		for n := range config.ShardsPerDataCentre {
			a := view.Assignment(domain.ShardID{DataCentre: dc, Number: n})
			shards[a.Owner]++
			if a.Owner != "" && a.Backup == "" {
				s.ShardsWithoutBackup++
			}
		}
	}
	s.UnassignedShards = shards[""]
	versions := map[domain.VM]uint64{}
	for _, v := range c.relay.Versions() {
		versions[v.VM] = uint64(v.Applied)
	}
	for _, m := range c.members.Members() {
		s.VMs = append(s.VMs, VMStatus{Member: m, Version: versions[m.VM], Shards: shards[m.VM]})
	}
	return s
}
