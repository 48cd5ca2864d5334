package ledger

import (
	"math"
	"math/big"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against costs that overflow, that are rounded per token kind instead of
// once, or that exceed MaxCost. The reference uses arbitrary-precision integers.
func TestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) int64 { return rapid.Int64Min(0).Draw(t, name) }
		m := &config.ModelSpec{PromptPrice: domain.Micros(draw("prompt price")), CachedPrice: domain.Micros(draw("cached price")), GeneratedPrice: domain.Micros(draw("generated price"))}
		u := domain.Usage{Prompt: domain.Tokens(draw("prompt")), Generated: domain.Tokens(draw("generated"))}
		u.Cached = domain.Tokens(rapid.Int64Range(0, int64(u.Prompt)).Draw(t, "cached"))
		want := new(big.Int)
		add := func(count domain.Tokens, price domain.Micros) {
			want.Add(want, new(big.Int).Mul(big.NewInt(int64(count)), big.NewInt(int64(price))))
		}
		add(u.Prompt-u.Cached, m.PromptPrice)
		add(u.Cached, m.CachedPrice)
		add(u.Generated, m.GeneratedPrice)
		want.Add(want, big.NewInt(tokensPerPriceUnit-1)).Div(want, big.NewInt(tokensPerPriceUnit))
		if !want.IsInt64() {
			want.SetInt64(math.MaxInt64)
		}
		must.Eq(t, want.Int64(), int64(Cost(m, u)))
		must.GreaterEq(t, Cost(m, u), MaxCost(m, u.Prompt, u.Generated))
	})
}
