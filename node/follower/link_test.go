package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/raft"
)

const (
	// linkBytesPerSecond is the bandwidth of a narrow link between two regions.
	linkBytesPerSecond = 60_000_000 / 8
	// remoteGateways is the number of gateways behind the link.
	remoteGateways = 36
	// recoveryTime is the time within which service has to be back after a loss of all power.
	recoveryTime = 12 * time.Second
)

// link carries the replies of coordinators in their order. Bytes that were sent to a
// caller that no longer waits still use it.
type link struct {
	mu          sync.Mutex
	freeAt      time.Time
	codec       *codec.Codec
	coordinator *coordinator.Coordinator
}

func (l *link) Call(ctx context.Context, _ string, m domain.Message) (domain.Message, error) {
	l.mu.Lock()
	reply := answerMessage(l.coordinator, m)
	data, err := l.codec.EncodeMessage(reply)
	if err != nil {
		l.mu.Unlock()
		return nil, err
	}
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(len(data)) * time.Second / linkBytesPerSecond)
	arrives := l.freeAt.Sub(now)
	l.mu.Unlock()
	select {
	case <-time.After(arrives):
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func answerMessage(c *coordinator.Coordinator, m domain.Message) domain.Message {
	switch m := m.(type) {
	case *coordinator.ReadDocument:
		return c.ReadDocument(m)
	default:
		return c.Report(time.Now(), m.(*coordinator.Report))
	}
}

// newLeader returns the only voter of its group, with a document of the given size.
func newLeader(t *testing.T, size int) *coordinator.Coordinator {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 1))
	self := coordinator.NewVM("a", "1")
	c := coordinator.New(coordinator.Config{Self: self, Voters: []domain.VM{self}, Rand: r}, raft.Restored{}, time.Now())
	settle := func() {
		for range 5 {
			time.Sleep(time.Second)
			c.Tick(time.Now())
			c.Persisted(time.Now(), c.Ready(time.Now()).Token)
		}
	}
	settle()
	// Random content stands for a document that does not compress further.
	raw := make([]byte, size)
	for i := range raw {
		raw[i] = byte(r.Uint32())
	}
	_, err := c.Put(time.Now(), manifest.Document{Version: 1, Raw: raw})
	must.NoError(t, err)
	settle()
	return c
}

// restarted is a gateway process without a configuration.
type restarted struct {
	mu      sync.Mutex
	version manifest.Version
	hasAt   time.Time
}

func (r *restarted) Report(context.Context) (*coordinator.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &coordinator.Report{Document: r.version}, nil
}

func (r *restarted) Apply(v *coordinator.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Document != nil && v.Document.Version > r.version {
		r.version, r.hasAt = v.Document.Version, time.Now()
	}
}

// Guards against gateways that stay without a configuration after a restart of all (RECOVER):
// the large document does not pass the link within the time of one call, and each repeated
// call sends it again.
func TestLargeDocumentPassesNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := codec.New(coordinator.Messages(), nil)
		must.NoError(t, err)
		l := &link{codec: c, coordinator: newLeader(t, 500_000)}
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var processes []*restarted
		var running sync.WaitGroup
		for range remoteGateways {
			p := &restarted{}
			processes = append(processes, p)
			running.Go(func() {
				//nolint:errcheck // It ends with the context.
				New(l, p, func() []string { return []string{"a", "b", "c"} }, logr.Discard()).Run(ctx)
			})
		}
		time.Sleep(recoveryTime)
		cancel()
		running.Wait()
		without := 0
		for _, p := range processes {
			if p.version == 0 || p.hasAt.Sub(start) > recoveryTime {
				without++
			}
		}
		must.Eq(t, 0, without, must.Sprintf("of %d gateways", remoteGateways))
	})
}

// lostCoordinator answers one call and fails afterwards.
type lostCoordinator struct {
	*link
	lost  string
	calls map[string]int
}

func (l *lostCoordinator) Call(ctx context.Context, address string, m domain.Message) (domain.Message, error) {
	l.calls[address]++
	if address == l.lost && l.calls[address] > 1 {
		return nil, errDown
	}
	return l.link.Call(ctx, address, m)
}

// Guards against a document whose every part is first requested from a coordinator that has
// failed, which may take a time-out each.
func TestDocumentIsReadOnAtAnotherCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := codec.New(coordinator.Messages(), nil)
		must.NoError(t, err)
		l := &lostCoordinator{link: &link{codec: c, coordinator: newLeader(t, 500_000)}, lost: "a", calls: map[string]int{}}
		p := &restarted{}
		d := documentReader{calls: l, process: p, log: logr.Discard()}
		d.read(t.Context(), 1, []string{"a", "b", "c"})
		must.Eq(t, 1, p.version)
		must.Eq(t, 2, l.calls["a"])
	})
}
