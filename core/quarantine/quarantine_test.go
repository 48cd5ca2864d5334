package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a request that continues to crash targets through several gateways,
// and against the quarantine of requests that were in flight at only one of the crashed
// targets or whose connection failed for another reason.
func TestCrashThresholdQuarantines(t *testing.T) {
	now := time.Unix(1000, 0)
	counter := NewCrashCounter()
	gateways := []*Watch{{}, {}}
	for i := range CrashThreshold {
		g, target := gateways[i%2], domain.Target(fmt.Sprint("t", i))
		must.SliceEmpty(t, counter.Quarantined(now))
		g.ConnectionFailed(now, 1, target)
		g.ConnectionFailed(now, Fingerprint(100+i), target)
		g.ConnectionFailed(now, 2, "sound")
		now = now.Add(time.Second)
		g.TargetUnreachable(now, target)
		for _, w := range gateways {
			counter.Report(now, w.Crashes(now))
		}
	}
	must.Eq(t, []Fingerprint{1}, counter.Quarantined(now))
	must.SliceEmpty(t, counter.Quarantined(now.Add(crashTTL+time.Second)))
}

// Guards against a crash that is still counted after the request was answered, and
// against a connection failure that is confirmed too late.
func TestServedRequestIsCleared(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &Watch{}
	w.ConnectionFailed(now, 1, "t")
	w.TargetUnreachable(now, "t")
	must.Len(t, 1, w.Crashes(now))
	w.Served(1)
	must.SliceEmpty(t, w.Crashes(now))
	w.ConnectionFailed(now, 1, "t")
	w.TargetUnreachable(now.Add(confirmationTimeout+time.Second), "t")
	must.SliceEmpty(t, w.Crashes(now))
}
