package follower

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
)

var errDown = errors.New("the coordinator is down")

// coordinators answers calls by address. An address without a view does not
// answer until the context ends, and a nil view returns an error.
type coordinators struct {
	mu    sync.Mutex
	views map[string]*coordinator.View
}

func (c *coordinators) Call(ctx context.Context, address string, _ domain.Message) (domain.Message, error) {
	c.mu.Lock()
	view, ok := c.views[address]
	c.mu.Unlock()
	switch {
	case !ok:
		<-ctx.Done()
		return nil, ctx.Err()
	case view == nil:
		return nil, errDown
	default:
		return view, nil
	}
}

func (c *coordinators) set(address string, view *coordinator.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views[address] = view
}

// process records the views that it applies.
type process struct{ applied []*coordinator.View }

func (*process) Report(context.Context) (*coordinator.Report, error) {
	return &coordinator.Report{}, nil
}

func (p *process) Apply(v *coordinator.View) { p.applied = append(p.applied, v) }

func newFollower(c *coordinators, p *process) *Follower {
	return New(c, p, func() []string { return []string{"a", "b", "c"} }, logr.Discard())
}

// Guards against a search that waits for an unresponsive coordinator before it
// tries the others: the process has no configuration in the meantime.
func TestUnresponsiveCoordinatorDoesNotDelaySearch(t *testing.T) {
	decided := &coordinator.View{Document: nil, Coordinators: []string{"a", "b", "c"}}
	c := &coordinators{views: map[string]*coordinator.View{"b": nil, "c": decided}}
	p := &process{}
	f := newFollower(c, p)
	must.False(t, f.reportOnce(t.Context()))
	must.SliceLen(t, 1, p.applied)
	c.set("c", &coordinator.View{Authoritative: true, Coordinators: []string{"a", "b", "c"}})
	must.True(t, f.reportOnce(t.Context()))
	must.Eq(t, "c", f.leader)
}

// Guards against reports to all coordinators at all times: a known leader is
// the only recipient until it fails.
func TestOnlyKnownLeaderIsContacted(t *testing.T) {
	known := []string{"a", "b", "c"}
	c := &coordinators{views: map[string]*coordinator.View{
		"a": {Leader: "b", Coordinators: known}, "b": {Authoritative: true, Coordinators: known}, "c": {Coordinators: known},
	}}
	f := newFollower(c, &process{})
	must.True(t, f.reportOnce(t.Context()))
	addresses, _ := f.recipients()
	must.Eq(t, []string{"b"}, addresses)
	c.set("b", nil)
	must.False(t, f.reportOnce(t.Context()))
	c.set("a", &coordinator.View{Authoritative: true, Coordinators: known})
	must.True(t, f.reportOnce(t.Context()))
	must.Eq(t, "a", f.leader)
}
