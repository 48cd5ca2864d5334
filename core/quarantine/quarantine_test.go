package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a request that goes on crashing targets through several
// gateways, and against the quarantine of requests that only shared a target
// with it or whose connection broke for another reason.
func TestThirdCrashQuarantines(t *testing.T) {
	now := time.Unix(1000, 0)
	census := NewCensus()
	gateways := []*Watch{{}, {}}
	for i := range Crashes {
		g, target := gateways[i%2], domain.Target(fmt.Sprint("t", i))
		must.SliceEmpty(t, census.Quarantined(now))
		g.Broke(now, 1, target)
		g.Broke(now, Fingerprint(100+i), target)
		g.Broke(now, 2, "sound")
		now = now.Add(time.Second)
		g.Unreachable(now, target)
		for _, w := range gateways {
			census.Report(now, w.Crashes(now))
		}
	}
	must.Eq(t, []Fingerprint{1}, census.Quarantined(now))
	must.SliceEmpty(t, census.Quarantined(now.Add(rememberFor+time.Second)))
}

// Guards against a request that counts as crashing although it was answered
// later.
func TestServedRequestIsCleared(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &Watch{}
	w.Broke(now, 1, "t")
	w.Unreachable(now, "t")
	must.Len(t, 1, w.Crashes(now))
	w.Served(1)
	must.SliceEmpty(t, w.Crashes(now))
	w.Broke(now, 1, "t")
	w.Unreachable(now.Add(confirmWithin+time.Second), "t")
	must.SliceEmpty(t, w.Crashes(now))
}
