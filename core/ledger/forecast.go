package ledger

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// reportRepeatInterval is the time after which an unchanged usage report is
	// repeated, so that a restarted root has all charges within a minute.
	reportRepeatInterval = time.Minute
	// sampleInterval and maxSamples together cover one day of usage.
	sampleInterval = time.Hour
	maxSamples     = 25
)

// usage holds an account's charges reported since the root started.
type usage struct {
	total   domain.Micros
	samples []sample
}

type sample struct {
	at    time.Time
	total domain.Micros
}

// Forecast holds bounds and an estimate of an account's charges from the start
// of this month to the end of the next.
type Forecast struct {
	// Floor is the sum of this month's charges in the latest reports.
	Floor domain.Micros
	// Expected extrapolates the usage of the last day, limited to the range from
	// Floor to Ceiling.
	Expected domain.Micros
	// Ceiling is the upper bound of the charges until the end of next month if
	// the preset and the budget do not change.
	Ceiling domain.Micros
}

// Forecast returns the forecast of an account, or false if this shard is not the
// account's root. The preset may differ from the one in force.
func (l *Ledger) Forecast(now time.Time, account domain.Account, preset *config.PresetSpec) (Forecast, bool) {
	spec := l.view.Account(account)
	if spec == nil || !l.isRoot(account) {
		return Forecast{}, false
	}
	root := l.root(key{account, MonthOf(now)})
	f := Forecast{Floor: root.charged(), Ceiling: ceiling(now, root, spec.MonthlyBudget, preset.DailySpendPermille)}
	rest := (root.Month + 2).start().Sub(now)
	expected := float64(f.Floor) + l.chargeRate(account, now)*rest.Seconds()
	if expected >= float64(f.Ceiling) {
		f.Expected = f.Ceiling
	} else {
		f.Expected = max(f.Floor, domain.Micros(expected))
	}
	return f, true
}

// ceiling returns the sum of this month's and next month's upper bounds. The
// outstanding amount can be charged in full, and each remaining day adds at most
// its daily allowance.
func ceiling(now time.Time, root *root, budget domain.Micros, permille int) domain.Micros {
	allowance := dailyAllowance(budget, permille)
	today := allowance
	if dayOf(now) <= root.Day {
		today -= root.DayNet
	}
	outstanding := root.outstanding()
	rest := addMicros(max(today, 0), mulMicros(allowance, root.Month.days()-now.UTC().Day()))
	current := max(outstanding, min(budget, addMicros(outstanding, rest)))
	next := min(budget, mulMicros(allowance, (root.Month+1).days()))
	return addMicros(current, next)
}

func mulMicros(amount domain.Micros, days int) domain.Micros {
	var total domain.Micros
	for range days {
		total = addMicros(total, amount)
	}
	return total
}

func (r *root) charged() domain.Micros {
	var total domain.Micros
	for _, p := range r.peers {
		total += p.charged
	}
	return total
}

func (l *Ledger) onUsageReport(now time.Time, m *UsageReport) {
	if m.Month < MonthOf(now)-1 || !l.isRoot(m.Account) {
		return
	}
	p := l.root(key{m.Account, m.Month}).peer(m.From)
	u := l.usage[m.Account]
	if u == nil {
		u = &usage{}
		l.usage[m.Account] = u
	}
	// The first report after a restart contains earlier charges of unknown time,
	// so it does not count for the charge rate.
	if p.reported {
		u.total += max(0, m.Charged-p.charged)
	}
	p.reported, p.charged = true, max(p.charged, m.Charged)
	if n := len(u.samples); n == 0 || now.Sub(u.samples[n-1].at) >= sampleInterval {
		u.samples = append(u.samples, sample{now, u.total})
		u.samples = u.samples[max(0, len(u.samples)-maxSamples):]
	}
}

// chargeRate returns the average charges per second over the retained samples,
// which cover at most one day.
func (l *Ledger) chargeRate(account domain.Account, now time.Time) float64 {
	u := l.usage[account]
	if u == nil || len(u.samples) == 0 {
		return 0
	}
	first := u.samples[0]
	span := max(now.Sub(first.at), sampleInterval)
	return float64(u.total-first.total) / span.Seconds()
}
