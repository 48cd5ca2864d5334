package ledger

import (
	"math"
	"math/bits"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// tokensPerPriceUnit is the number of tokens that a price of a model refers to.
const tokensPerPriceUnit = 1_000_000

// Cost returns the cost of a call. The sum over all token kinds is rounded up to a
// whole micro. Negative token counts count as zero, and the result saturates at
// the maximum of Micros.
func Cost(m *config.ModelSpec, u domain.Usage) domain.Micros {
	prompt := max(u.Prompt, 0)
	cached := min(max(u.Cached, 0), prompt)
	var s sum
	s.add(int64(prompt-cached), int64(m.PromptPrice))
	s.add(int64(cached), int64(m.CachedPrice))
	s.add(int64(max(u.Generated, 0)), int64(m.GeneratedPrice))
	return s.perMillion()
}

// MaxCost returns the upper bound of the cost of a call before it runs. All prompt
// tokens are priced at the higher of the prompt price and the cached price.
func MaxCost(m *config.ModelSpec, prompt, limit domain.Tokens) domain.Micros {
	price := *m
	price.PromptPrice = max(m.PromptPrice, m.CachedPrice)
	return Cost(&price, domain.Usage{Prompt: prompt, Generated: limit})
}

// sum accumulates products of token counts and prices in 128 bits, because one
// product can exceed 64 bits.
type sum struct{ high, low uint64 }

func (s *sum) add(count, price int64) {
	high, low := bits.Mul64(uint64(max(count, 0)), uint64(max(price, 0)))
	var carry uint64
	s.low, carry = bits.Add64(s.low, low, 0)
	s.high, _ = bits.Add64(s.high, high, carry)
}

func (s *sum) perMillion() domain.Micros {
	if s.high >= tokensPerPriceUnit {
		return math.MaxInt64
	}
	quotient, rest := bits.Div64(s.high, s.low, tokensPerPriceUnit)
	if rest > 0 && quotient < math.MaxUint64 {
		quotient++
	}
	return domain.Micros(min(quotient, math.MaxInt64))
}

// addMicros returns the sum of two non-negative amounts, saturated at the maximum.
func addMicros(a, b domain.Micros) domain.Micros {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// dailyAllowance returns the net amount that the root may release on one day.
func dailyAllowance(budget domain.Micros, permille int) domain.Micros {
	high, low := bits.Mul64(uint64(max(budget, 0)), uint64(max(permille, 0)))
	if high >= 1000 {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(high, low, 1000)
	return domain.Micros(min(quotient, math.MaxInt64))
}

// Month is the number of a calendar month in UTC, counted from January of year 0.
type Month int32

// MonthOf returns the month that contains t in UTC.
func MonthOf(t time.Time) Month {
	t = t.UTC()
	return Month(t.Year()*12 + int(t.Month()) - 1)
}

// start returns the first instant of the month in UTC.
func (m Month) start() time.Time {
	return time.Date(int(m)/12, time.Month(int(m)%12+1), 1, 0, 0, 0, 0, time.UTC)
}

// days returns the number of days in the month.
func (m Month) days() int { return (m + 1).start().AddDate(0, 0, -1).Day() }

// dayOf returns the number of the day that contains t, counted in UTC from the
// Unix epoch.
func dayOf(t time.Time) int64 { return t.Unix() / int64(24*time.Hour/time.Second) }
