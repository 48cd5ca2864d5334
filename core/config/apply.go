package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// maxNameBytes is the maximum length of a configured name, in bytes.
const maxNameBytes = 128

// apply validates a command and executes it. It leaves the state unchanged when
// it returns an error.
func (s *Snapshot) apply(c Command) error {
	switch c := c.(type) {
	case *PutAccount:
		return s.putAccount(c.Account)
	case *PutKey:
		return s.putKey(c.Key)
	case *WithdrawKey:
		return s.withdrawKey(c.ID)
	case *SetPreset:
		return s.setPreset(c.Name)
	case *PutPreset:
		return s.putPreset(c.Preset)
	case *PutModel:
		return s.putModel(c.Model)
	case *PutRoute:
		return s.putRoute(c.Route)
	case *RemoveRoute:
		return remove(s.Routes, c.Name, "route")
	case *PutTarget:
		return s.putTarget(c.Target)
	case *RemoveTarget:
		return remove(s.Targets, c.Name, "target")
	case *SetTargetLeaving:
		return s.setTargetLeaving(c.Name, c.Leaving)
	case *PutVM:
		return s.putVM(c.VM)
	case *RemoveVM:
		return remove(s.VMs, c.Name, "VM")
	case *SetHomes:
		return s.setHomes(c.DataCentres)
	case *SetVoters:
		s.Voters = slices.Clone(c.Voters)
		return nil
	case *AssignShard:
		return s.assignShard(c)
	default:
		return fmt.Errorf("command %T is not known to this version; upgrade the VM", c)
	}
}

func (s *Snapshot) putAccount(a AccountSpec) error {
	if err := checkName("client account", string(a.Name)); err != nil {
		return err
	}
	if a.RatePerSecond <= 0 || a.Burst < 1 {
		return fmt.Errorf("client account %q: rate %v and burst %v: set a rate above 0 and a burst of at least 1", a.Name, a.RatePerSecond, a.Burst)
	}
	if a.Weight < 1 {
		return fmt.Errorf("client account %q: weight %d: set a weight of at least 1", a.Name, a.Weight)
	}
	if a.MonthlyBudget < 0 || a.ProgramBudget < 0 || a.Concurrency < 0 {
		return fmt.Errorf("client account %q: budgets and concurrency must not be negative", a.Name)
	}
	s.Accounts[a.Name] = a
	return nil
}

func (s *Snapshot) putKey(k KeySpec) error {
	if err := checkName("key", string(k.ID)); err != nil {
		return err
	}
	if _, ok := s.Accounts[k.Account]; !ok {
		return fmt.Errorf("key %q: client account %q does not exist; create it first", k.ID, k.Account)
	}
	if known, ok := s.Keys[k.ID]; ok && (known.Hash != k.Hash || known.Account != k.Account || known.Withdrawn) {
		return fmt.Errorf("key %q exists already; choose another id", k.ID)
	}
	s.Keys[k.ID] = k
	return nil
}

// withdrawKey marks a key as withdrawn. No command reverses this.
func (s *Snapshot) withdrawKey(id KeyID) error {
	k, ok := s.Keys[id]
	if !ok {
		return fmt.Errorf("key %q does not exist; list the keys to find its id", id)
	}
	k.Withdrawn = true
	s.Keys[id] = k
	return nil
}

func (s *Snapshot) setPreset(name PresetName) error {
	if _, ok := s.Presets[name]; !ok {
		return fmt.Errorf("preset %q does not exist; use %s, %s or %s", name, PresetOrdinary, PresetPeak, PresetMaintenance)
	}
	s.PresetInForce = name
	return nil
}

func (s *Snapshot) putPreset(p PresetSpec) error {
	if _, ok := s.Presets[p.Name]; !ok {
		return fmt.Errorf("preset %q does not exist; the presets are %s, %s and %s", p.Name, PresetOrdinary, PresetPeak, PresetMaintenance)
	}
	if p.DailySpendPermille <= 0 || p.MaxGeneratedTokens <= 0 || p.MaxTurns <= 0 || p.MaxWallTime <= 0 || p.MaxRepeatedCalls <= 0 {
		return fmt.Errorf("preset %q: daily spend, generated tokens, turns, wall time and repeated calls must be above 0", p.Name)
	}
	s.Presets[p.Name] = p
	return nil
}

func (s *Snapshot) putModel(m ModelSpec) error {
	if err := checkName("model", string(m.Name)); err != nil {
		return err
	}
	if m.PromptPrice < 0 || m.CachedPrice < 0 || m.GeneratedPrice < 0 || m.MaxContext <= 0 {
		return fmt.Errorf("model %q: prices must not be negative and the context size must be above 0", m.Name)
	}
	if m.CachedPrice > m.PromptPrice {
		return fmt.Errorf("model %q: the cached price %s is above the prompt price %s; the reservation would not cover the charge", m.Name, m.CachedPrice, m.PromptPrice)
	}
	s.Models[m.Name] = m
	return nil
}

func (s *Snapshot) putRoute(r RouteSpec) error {
	if err := checkName("route", r.Name); err != nil {
		return err
	}
	if r.Timeout <= 0 || r.Price < 0 {
		return fmt.Errorf("route %q: set a timeout above 0 and a price that is not negative", r.Name)
	}
	if r.Open && (r.Price != 0 || !r.Repeatable) {
		return fmt.Errorf("route %q: an open route has no client account, so it must be free and repeatable", r.Name)
	}
	s.Routes[r.Name] = r
	return nil
}

func (s *Snapshot) putTarget(t TargetSpec) error {
	if err := checkName("target", string(t.Name)); err != nil {
		return err
	}
	if t.Kind != TargetEngine && t.Kind != TargetService {
		return fmt.Errorf("target %q: kind %q: use %s or %s", t.Name, t.Kind, TargetEngine, TargetService)
	}
	if err := checkAddress("target", string(t.Name), t.Address); err != nil {
		return err
	}
	if t.DataCentre == "" || t.Region == "" {
		return fmt.Errorf("target %q: set its data centre and region", t.Name)
	}
	s.Targets[t.Name] = t
	return nil
}

func (s *Snapshot) setTargetLeaving(name domain.Target, leaving bool) error {
	t, ok := s.Targets[name]
	if !ok {
		return fmt.Errorf("target %q does not exist; list the targets to find its name", name)
	}
	t.Leaving = leaving
	s.Targets[name] = t
	return nil
}

func (s *Snapshot) putVM(v VMSpec) error {
	if err := checkName("VM", string(v.Name)); err != nil {
		return err
	}
	if err := checkAddress("VM", string(v.Name), v.PeerAddress); err != nil {
		return err
	}
	if v.DataCentre == "" || v.Region == "" {
		return fmt.Errorf("VM %q: set its data centre and region", v.Name)
	}
	s.VMs[v.Name] = v
	return nil
}

// setHomes sets the list of home data centres once. A later list must be equal:
// program names without a suffix are placed by a hash over the list, so another
// list would make running programs unreachable.
func (s *Snapshot) setHomes(homes []domain.DataCentre) error {
	if len(homes) == 0 {
		return domain.ErrNoDataCentre
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(homes)))
	if len(s.Homes) > 0 && !slices.Equal(s.Homes, sorted) {
		return fmt.Errorf("the home data centres are fixed to %v; let new programs name another data centre with an @ suffix", s.Homes)
	}
	s.Homes = sorted
	return nil
}

// assignShard replaces the holders of a shard by compare-and-set on its epoch, so
// that only one of two concurrent planners can change them.
func (s *Snapshot) assignShard(c *AssignShard) error {
	current := s.Assignments[c.Assignment.Shard]
	if current.Epoch != c.PreviousEpoch {
		return fmt.Errorf("shard %s is at epoch %d, not %d; plan again from the current configuration", c.Assignment.Shard, current.Epoch, c.PreviousEpoch)
	}
	if c.Assignment.Epoch <= current.Epoch {
		return fmt.Errorf("shard %s: epoch %d is not above %d", c.Assignment.Shard, c.Assignment.Epoch, current.Epoch)
	}
	s.Assignments[c.Assignment.Shard] = c.Assignment
	return nil
}

func remove[K ~string, V any](m map[K]V, name K, kind string) error {
	if _, ok := m[name]; !ok {
		return fmt.Errorf("%s %q does not exist", kind, name)
	}
	delete(m, name)
	return nil
}

func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("%s name %q: use 1 to %d bytes", kind, name, maxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r == '/' || r == 0x7f {
			return fmt.Errorf("%s name %q: leave out spaces, slashes and control characters", kind, name)
		}
	}
	return nil
}

func checkAddress(kind, name, address string) error {
	if address == "" {
		return fmt.Errorf("%s %q: set its address to an IP number and a port", kind, name)
	}
	return nil
}

// defaultPresets returns the presets of a new system. The ordinary preset spreads
// the monthly budget over 20 working days. The peak preset allows a quarter of it
// in one day. The maintenance preset lets running programs finish and starts no
// new ones.
func defaultPresets() []PresetSpec {
	ordinary := PresetSpec{
		Name:               PresetOrdinary,
		DailySpendPermille: 50,
		MaxGeneratedTokens: 8_192,
		QueueOrder:         OrderLeastAttained,
		NewPrograms:        true,
		MaxTurns:           570,
		MaxWallTime:        24 * time.Hour,
		MaxRepeatedCalls:   20,
	}
	peak := ordinary
	peak.Name, peak.DailySpendPermille, peak.MaxGeneratedTokens = PresetPeak, 250, 4_096
	maintenance := ordinary
	maintenance.Name, maintenance.DailySpendPermille, maintenance.MaxGeneratedTokens = PresetMaintenance, 20, 2_048
	maintenance.NewPrograms = false
	return []PresetSpec{ordinary, peak, maintenance}
}
