package origin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const period = 6 * time.Second

func versions(names ...string) map[Origin]bool {
	out := map[Origin]bool{{Service: "other", Version: "v9"}: true}
	for _, v := range names {
		out[Origin{Service: "model", Version: v}] = true
	}
	return out
}

// listFor gives a history the same list every second.
func listFor(h *History, now time.Time, seconds int, names ...string) time.Time {
	for range seconds {
		now = now.Add(time.Second)
		h.Listed(now, now, versions(names...))
	}
	return now
}

// Guards against a stream that is resumed at the only version that serves now, although
// another one served when it may have begun.
func TestOnlyVersionNeedsWholePeriod(t *testing.T) {
	h := &History{}
	only := func(now time.Time, former map[Origin]bool) string {
		o, _ := h.Only(now, "model", period, former)
		return o.Version
	}
	now := listFor(h, start, 3, "v1")
	must.Eq(t, "", only(now, nil), must.Sprint("the history is too short"))
	must.Eq(t, "v1", only(now, versions()), must.Sprint("that of the coordinators is long enough"))
	must.Eq(t, "", only(now, versions("v0")))
	now = listFor(h, now, 4, "v1")
	must.Eq(t, "v1", only(now, nil))
	now = listFor(h, now, 1, "v1", "v2")
	must.Eq(t, "", only(now, nil))
	now = listFor(h, now, 6, "v2")
	must.Eq(t, "", only(now, nil), must.Sprint("v1 left within the period"))
	former, complete := h.Former(now)
	must.True(t, complete)
	must.MapContainsKey(t, former, Origin{Service: "model", Version: "v1"})
	now = listFor(h, now, 2, "v2")
	must.Eq(t, "v2", only(now, nil))
	must.Eq(t, "", only(now.Add(MaxListAge+1), nil), must.Sprint("the list is old"))
	now = listFor(h, now.Add(time.Minute), 5, "v2")
	must.Eq(t, "", only(now, nil), must.Sprint("nothing is known of the gap"))
	_, ok := h.Only(listFor(h, now, 300, "v2"), "model", historyRetention+1, nil)
	must.False(t, ok, must.Sprint("versions that left before are forgotten"))
	now = listFor(h, now, 305, "v2")
	o, ok := h.Only(now, "other", time.Second, nil)
	must.True(t, ok)
	must.Eq(t, "v9", o.Version)
}

// Guards against a version that is unknown and counts as the only one.
func TestUnknownVersionIsNoOrigin(t *testing.T) {
	h := &History{}
	now := listFor(h, start, 10, "")
	_, ok := h.Only(now, "model", period, nil)
	must.False(t, ok)
}

// Guards against a list that counts as current although it was read long before it arrived, and
// against a version that is used for streams before every gateway with a current list knows it.
func TestLateListAndUnsettledVersion(t *testing.T) {
	h := &History{}
	now := listFor(h, start, 10, "v1")
	_, ok := h.Only(now, "model", period, nil)
	must.True(t, ok)
	must.Nil(t, h.Unsettled(now))
	now = now.Add(3 * time.Second)
	h.Confirmed(now.Add(-3 * time.Second))
	_, ok = h.Only(now, "model", period, nil)
	must.False(t, ok, must.Sprint("the list was read 3 s ago"))

	v2 := Origin{Service: "model", Version: "v2"}
	h.Listed(now, now.Add(-time.Second), versions("v1", "v2"))
	must.MapContainsKey(t, h.Unsettled(now), v2)
	must.MapNotContainsKey(t, h.Unsettled(now), Origin{Service: "model", Version: "v1"})
	must.MapContainsKey(t, h.Unsettled(now.Add(MaxListAge-1)), v2)
	must.Nil(t, h.Unsettled(now.Add(MaxListAge)))
	// An older list that replaces a newer one makes the history older.
	h.Listed(now, now.Add(-MaxListAge-1), versions("v1"))
	must.False(t, h.isCurrent(now))
}
