package ledger

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// reportRepeatInterval repeats unchanged usage reports, so that a restarted root
	// learns the charges again within a minute.
	reportRepeatInterval = time.Minute
	// sampleInterval and maxSamples keep one day of usage for the forecast.
	sampleInterval = time.Hour
	maxSamples     = 25
)

// usage holds the charges that reports have added since the root started.
type usage struct {
	total   domain.Micros
	samples []sample
}

type sample struct {
	at    time.Time
	total domain.Micros
}

// Forecast bounds an account's charges of this month and the next.
type Forecast struct {
	// Floor is what this month's charges have reached by the last reports.
	Floor domain.Micros
	// Expected continues the usage of the last day, within floor and ceiling.
	Expected domain.Micros
	// Ceiling cannot be passed until the end of next month while the preset
	// and the budget stay as they are.
	Ceiling domain.Micros
}

// Forecast answers for an account whose root is this shard. The preset may be
// the one in force or another one.
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

// ceiling adds this month's bound to the next month's. The outstanding amount
// can be charged whole, and each remaining day adds its allowance at most.
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
	// The first report after a restart holds older charges, which have no time.
	if p.reported {
		u.total += max(0, m.Charged-p.charged)
	}
	p.reported, p.charged = true, max(p.charged, m.Charged)
	if n := len(u.samples); n == 0 || now.Sub(u.samples[n-1].at) >= sampleInterval {
		u.samples = append(u.samples, sample{now, u.total})
		u.samples = u.samples[max(0, len(u.samples)-maxSamples):]
	}
}

// chargeRate returns the charges for a second over the kept samples, at most
// one day.
func (l *Ledger) chargeRate(account domain.Account, now time.Time) float64 {
	u := l.usage[account]
	if u == nil || len(u.samples) == 0 {
		return 0
	}
	first := u.samples[0]
	span := max(now.Sub(first.at), sampleInterval)
	return float64(u.total-first.total) / span.Seconds()
}
