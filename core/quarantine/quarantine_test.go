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
		must.SliceEmpty(t, counter.Lists(now).Quarantined)
		g.ConnectionFailed(now, now.Add(-time.Millisecond), 1, target)
		g.ConnectionFailed(now, now.Add(-time.Millisecond), Fingerprint(100+i), target)
		g.ConnectionFailed(now, now.Add(-time.Millisecond), 2, "sound")
		now = now.Add(time.Second)
		g.TargetUnreachable(now, target)
		for i, w := range gateways {
			counter.Report(now, fmt.Sprint(i), w.Crashes(now, nil))
		}
	}
	must.Eq(t, []Fingerprint{1}, counter.Lists(now).Quarantined)
	must.SliceEmpty(t, counter.Lists(now.Add(crashTTL+time.Second)).Quarantined)
}

// Guards against a crash that is still counted after the request was answered, and
// against a connection failure that is confirmed too late.
func TestServedRequestIsCleared(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &Watch{}
	w.ConnectionFailed(now, now.Add(-time.Millisecond), 1, "t")
	w.TargetUnreachable(now, "t")
	must.Len(t, 1, w.Crashes(now, nil))
	w.Served(1)
	must.SliceEmpty(t, w.Crashes(now, nil))
	w.ConnectionFailed(now, now.Add(-time.Millisecond), 1, "t")
	w.TargetUnreachable(now.Add(confirmationTimeout+time.Second), "t")
	must.SliceEmpty(t, w.Crashes(now, nil))
}

// crashModel lets requests crash targets, as a gateway sees it.
type crashModel struct {
	now     time.Time
	counter *CrashCounter
	watches []*Watch
}

func newCrashModel(gateways int) *crashModel {
	m := &crashModel{now: time.Unix(1000, 0), counter: NewCrashCounter()}
	for range gateways {
		m.watches = append(m.watches, &Watch{})
	}
	return m
}

// suspected returns what gateways are told to be suspected.
func (m *crashModel) suspected() map[Fingerprint]bool {
	out := map[Fingerprint]bool{}
	for _, f := range m.counter.Lists(m.now).Suspected {
		out[f] = true
	}
	return out
}

// crash lets targets crash at once while requests run at them that a gateway sent before.
func (m *crashModel) crash(gateway int, f Fingerprint, targets ...domain.Target) {
	sentAt := m.now
	m.now = m.now.Add(2 * concurrencyMargin)
	for _, t := range targets {
		m.watches[gateway].ConnectionFailed(m.now, sentAt, f, t)
	}
	m.now = m.now.Add(time.Second)
	for _, t := range targets {
		m.watches[gateway].TargetUnreachable(m.now, t)
	}
	m.report()
}

// report lets each gateway report twice, some time apart.
func (m *crashModel) report() {
	for range 2 {
		m.now = m.now.Add(200 * time.Millisecond)
		for i, w := range m.watches {
			m.counter.Report(m.now, fmt.Sprint(i), w.Crashes(m.now, m.suspected()))
		}
	}
}

// Guards against a request that is quarantined because several targets that run it crash together,
// as in a rack (LOST in the second review), and against one that crashes targets one after the other
// and is not.
func TestTargetsThatCrashTogetherCountOnce(t *testing.T) {
	m := newCrashModel(2)
	m.crash(0, 1, "a", "b", "c")
	m.crash(0, 2, "a")
	m.crash(1, 2, "b")
	must.SliceEmpty(t, m.counter.Lists(m.now).Quarantined)
	must.Eq(t, []Fingerprint{2}, m.counter.Lists(m.now).Suspected)
	m.crash(1, 1, "d")
	must.SliceEmpty(t, m.counter.Lists(m.now).Quarantined)
	m.crash(0, 1, "e")
	m.crash(0, 2, "c")
	must.Eq(t, []Fingerprint{1, 2}, m.counter.Lists(m.now).Quarantined)
	must.SliceEmpty(t, m.counter.Lists(m.now.Add(crashTTL+time.Second)).Quarantined)
}

// Guards against a request that is quarantined although targets answer it between the crashes, and
// against crashes that count again at a new leader.
func TestAnswerClearsCrashesOfAllGateways(t *testing.T) {
	m := newCrashModel(2)
	m.crash(0, 1, "a")
	must.SliceEmpty(t, m.counter.Lists(m.now).Suspected)
	m.crash(1, 1, "b")
	must.Eq(t, []Fingerprint{1}, m.counter.Lists(m.now).Suspected)
	m.counter.Served([]Fingerprint{1, 7})
	must.SliceEmpty(t, m.counter.Lists(m.now).Suspected)
	must.Eq(t, []Fingerprint{1}, m.counter.Lists(m.now).Cleared)
	m.report()
	m.crash(0, 1, "c")
	m.crash(0, 1, "d")
	must.SliceEmpty(t, m.counter.Lists(m.now).Quarantined)
	for _, w := range m.watches {
		for _, f := range m.counter.Lists(m.now).Cleared {
			w.Served(f)
		}
	}
	m.counter = NewCrashCounter()
	m.report()
	must.SliceEmpty(t, m.counter.Lists(m.now).Suspected)
}

// Guards against crashes that do not count because their gateway, of a build from before, does not
// tell when it sent the request.
func TestCrashesOfEarlierBuildsCount(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(1000, 0)
	c.Report(now, "old", []Crash{{Fingerprint: 1, Target: "a"}, {Fingerprint: 1, Target: "b"}, {Fingerprint: 1, Target: "c"}})
	must.Eq(t, []Fingerprint{1}, c.Lists(now).Quarantined)
}

// Guards against a request that is never quarantined because the few targets that it crashes start
// again under their ids (BUDGET), and against one crash that counts several times: in repeated
// reports, in reports of a build that does not number crashes, and at several gateways.
func TestTargetThatStartsAgainCountsAgain(t *testing.T) {
	for name, targets := range map[string][]domain.Target{"one target": {"a", "a", "a"}, "two targets": {"a", "b", "a"}} {
		t.Run(name, func(t *testing.T) {
			m := newCrashModel(2)
			for i, target := range targets {
				must.SliceEmpty(t, m.counter.Lists(m.now).Quarantined)
				m.now = m.now.Add(2 * restartMargin)
				m.crash(i%2, 1, target)
			}
			must.Eq(t, []Fingerprint{1}, m.counter.Lists(m.now).Quarantined)
			m.counter = NewCrashCounter() // of the next leader
			m.report()
			must.Eq(t, []Fingerprint{1}, m.counter.Lists(m.now).Quarantined)
		})
	}
	m := newCrashModel(3)
	for i := range m.watches {
		m.watches[i].ConnectionFailed(m.now, m.now.Add(-10*time.Millisecond), 1, "a")
		m.watches[i].TargetUnreachable(m.now, "a")
	}
	for range 5 {
		m.now = m.now.Add(restartMargin)
		m.report()
		m.counter.Report(m.now, "old", []Crash{{Fingerprint: 1, Target: "a"}})
	}
	must.SliceEmpty(t, m.counter.Lists(m.now).Suspected)
}

// Guards against a request that runs at three more targets after each end of its quarantine (BUDGET),
// against one that crashes a target a minute and is never quarantined, and against one that was answered
// after its quarantine and still counts as a crasher. A new leader goes on with what gateways report.
func TestQuarantineGrows(t *testing.T) {
	m := newCrashModel(3)
	dispatched := 0
	for minute := range 60 {
		if minute == 30 {
			m.counter = NewCrashCounter()
			m.report()
		}
		if len(m.counter.Lists(m.now).Quarantined) == 0 {
			dispatched++
			m.crash(minute%3, 1, domain.Target(fmt.Sprint("t", minute)))
		}
		m.now = m.now.Add(time.Minute)
		m.report()
	}
	must.LessEq(t, CrashThreshold+maxLateRuns, dispatched)
	must.Greater(t, CrashThreshold, dispatched)

	m.now = m.now.Add(maxQuarantine)
	must.SliceEmpty(t, m.counter.Lists(m.now).Quarantined)
	m.counter.Served([]Fingerprint{1})
	m.crash(0, 1, "a")
	m.crash(0, 1, "b")
	must.SliceEmpty(t, m.counter.Lists(m.now).Quarantined)
}

// maxLateRuns is how often operators permit that a request runs after it has crashed the third target.
const maxLateRuns = 3
