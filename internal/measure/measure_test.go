package measure

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a comparison of policies on different programs, which happens
// when the scripts depend on more than their seed.
func TestScriptsRepeat(t *testing.T) {
	a, b := makeScripts(1, 10, 5*time.Second, false), makeScripts(1, 10, 5*time.Second, false)
	must.Eq(t, fmt.Sprint(a[0].name, a[0].turns), fmt.Sprint(b[0].name, b[0].turns))
	must.Positive(t, len(a))
	must.NotEq(t, len(a), len(makeScripts(1, 10, 5*time.Second, true)))
}

// Guards against a fair share above an account's demand.
func TestFairShares(t *testing.T) {
	demand := make([]float64, len(accountShares))
	demand[0], demand[7] = 1000, 10
	fair := fairShares(demand, 500)
	must.InDelta(t, 10, fair[7], 1e-9)
	must.InDelta(t, 490, fair[0], 1e-9)
	must.InDelta(t, 0, fair[1], 1e-9)
}

// Guards against a wasted-cache ratio that counts the first prefill of a prompt,
// or the incomplete last block of a prefix, which engines do not cache.
func TestWastedCache(t *testing.T) {
	start := time.Unix(1000, 0)
	o := &observation{start: start, window: time.Minute, calls: []callResult{
		{modelCall: true, sent: start, done: start, prompt: 100, prefixTokens: 0, cached: 0},
		{modelCall: true, sent: start, done: start, prompt: 200, prefixTokens: 120, cached: 112},
		{modelCall: true, sent: start, done: start, prompt: 300, prefixTokens: 220, cached: 108},
	}}
	must.Eq(t, 100.0/(100+88+192), o.summary(-1).WastedCacheRatio)
}
