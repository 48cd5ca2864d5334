package ledger

import (
	"math"
	"math/bits"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// tokensPerPriceUnit is the number of tokens that a price covers.
const tokensPerPriceUnit = 1_000_000

// Cost returns the price of a call, rounded up once to a micro. Counts below
// zero count as zero and results beyond the range of Micros are cut off there.
func Cost(m *config.ModelSpec, u domain.Usage) domain.Micros {
	prompt := max(u.Prompt, 0)
	cached := min(max(u.Cached, 0), prompt)
	var s sum
	s.add(int64(prompt-cached), int64(m.PromptPrice))
	s.add(int64(cached), int64(m.CachedPrice))
	s.add(int64(max(u.Generated, 0)), int64(m.GeneratedPrice))
	return s.perMillion()
}

// MaxCost bounds the cost of a call before it runs. Cached tokens count at
// the higher of both prompt prices.
func MaxCost(m *config.ModelSpec, prompt, limit domain.Tokens) domain.Micros {
	price := *m
	price.PromptPrice = max(m.PromptPrice, m.CachedPrice)
	return Cost(&price, domain.Usage{Prompt: prompt, Generated: limit})
}

// sum adds products in 128 bits, because one product of a token count and a
// price can exceed 64 bits.
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

// addMicros adds two amounts that are not negative, cut off at the maximum.
func addMicros(a, b domain.Micros) domain.Micros {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// dailyAllowance returns what the root may release on one day.
func dailyAllowance(budget domain.Micros, permille int) domain.Micros {
	high, low := bits.Mul64(uint64(max(budget, 0)), uint64(max(permille, 0)))
	if high >= 1000 {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(high, low, 1000)
	return domain.Micros(min(quotient, math.MaxInt64))
}

// Month numbers calendar months in UTC.
type Month int32

// MonthOf returns the month of a time.
func MonthOf(t time.Time) Month {
	t = t.UTC()
	return Month(t.Year()*12 + int(t.Month()) - 1)
}

// start returns the first instant of the month.
func (m Month) start() time.Time {
	return time.Date(int(m)/12, time.Month(int(m)%12+1), 1, 0, 0, 0, 0, time.UTC)
}

// days returns the number of days of the month.
func (m Month) days() int { return (m + 1).start().AddDate(0, 0, -1).Day() }

// dayOf numbers days in UTC.
func dayOf(t time.Time) int64 { return t.Unix() / int64(24*time.Hour/time.Second) }
