package check

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// op returns an operation on the object "x".
func op(call, ret int64, input, output any) Op {
	return Op{Key: "x", Call: call, Return: ret, Input: input, Output: output}
}

func bounded(ops []Op) error { return Withdrawals(5, ops) }

func limited(ops []Op) error { return Budget(100, ops) }

// Guards against checkers that accept an illegal history or reject a legal one.
func TestCheckers(t *testing.T) {
	turn := func(n int) Appended { return Appended{Done, n} }
	cases := []struct {
		name  string
		check func([]Op) error
		legal bool
		ops   []Op
	}{
		{"concurrent turns", Programs, true, []Op{op(0, 9, Append{"a"}, turn(2)), op(1, 8, Append{"b"}, turn(1)), op(10, 11, Read{}, Turns{"b", "a"})}},
		{"turn of a lost answer", Programs, true, []Op{op(0, NoResponse, Append{"a"}, Appended{}), op(1, 2, Append{"b"}, turn(2))}},
		{"lost answer without a turn", Programs, true, []Op{op(0, NoResponse, Append{"a"}, Appended{}), op(1, 2, Append{"b"}, turn(1))}},
		{"lost turn", Programs, false, []Op{op(0, 1, Append{"a"}, turn(1)), op(2, 3, Append{"b"}, turn(1))}},
		{"repeated turn", Programs, false, []Op{op(0, 1, Append{"a"}, turn(1)), op(2, 3, Read{}, Turns{"a", "a"})}},
		{"mixed turn", Programs, false, []Op{op(0, 1, Append{"a"}, turn(1)), op(2, 3, Read{}, Turns{"z"})}},
		{"turns out of order", Programs, false, []Op{op(0, 1, Append{"a"}, turn(2)), op(2, 3, Append{"b"}, turn(1))}},
		{"turn of a refused call", Programs, false, []Op{op(0, 1, Append{"a"}, Appended{Outcome: NotRun}), op(2, 3, Read{}, Turns{"a"})}},

		{"one execution", RunOnce, true, []Op{op(0, 9, Request{}, Done), op(3, 4, Execute{}, nil), op(0, NoResponse, Request{}, Unknown)}},
		{"two executions", RunOnce, false, []Op{op(3, 4, Execute{}, nil), op(5, 6, Execute{}, nil)}},
		{"not run although executed", RunOnce, false, []Op{op(0, 9, Request{}, NotRun), op(3, 4, Execute{}, nil)}},
		{"executed after not run", RunOnce, false, []Op{op(0, 1, Request{}, NotRun), op(3, 4, Execute{}, nil)}},
		{"answer without execution", RunOnce, false, []Op{op(0, 1, Request{}, Done)}},

		{"charges", limited, true, []Op{op(0, 1, Charge{60}, Done), op(0, NoResponse, Charge{50}, Unknown), op(2, 3, Charge{40}, Done), op(4, 5, Total{}, int64(100))}},
		{"budget exceeded", limited, false, []Op{op(0, 1, Charge{60}, Done), op(2, 3, Charge{60}, Done)}},
		{"charged twice", limited, false, []Op{op(0, 1, Charge{30}, Done), op(2, 3, Total{}, int64(60))}},
		{"charged although refused", limited, false, []Op{op(0, 1, Charge{30}, NotRun), op(2, 3, Total{}, int64(30))}},

		{"resend has the first outcome", Configuration, true, []Op{op(0, 1, Set{"o", 0, "v"}, Changed{Done, 5}), op(2, 3, Set{"o", 0, "v"}, Changed{Done, 5}), op(4, 5, Get{}, "v")}},
		{"stale base conflicts", Configuration, true, []Op{op(0, 1, Set{"o", 1, "v"}, Changed{Done, 5}), op(0, 1, Set{"p", 1, "w"}, Changed{Outcome: NotRun}), op(4, 5, Get{}, "v")}},
		{"both of a race win", Configuration, false, []Op{op(0, 1, Set{"o", 1, "v"}, Changed{Done, 5}), op(0, 1, Set{"p", 1, "w"}, Changed{Done, 6})}},
		{"resend applied again", Configuration, false, []Op{op(0, 1, Set{"o", 0, "v"}, Changed{Done, 5}), op(2, 3, Set{"o", 0, "v"}, Changed{Done, 6})}},
		{"reverted value", Configuration, false, []Op{op(0, 1, Set{"o", 0, "v"}, Changed{Done, 5}), op(2, 3, Set{"p", 0, "w"}, Changed{Done, 6}), op(4, 5, Get{}, "v")}},

		{"withdrawn within the bound", bounded, true, []Op{op(0, 1, Use{}, true), op(2, 3, Withdraw{}, Done), op(4, 5, Use{}, false), op(6, 7, Use{}, true), op(9, 10, Use{}, false)}},
		{"accepted after the bound", bounded, false, []Op{op(2, 3, Withdraw{}, Done), op(9, 10, Use{}, true)}},
		{"accepted again", bounded, false, []Op{op(2, 3, Withdraw{}, Done), op(9, 10, Use{}, false), op(11, 12, Use{}, true)}},
		{"refused without withdrawal", bounded, false, []Op{op(0, 1, Use{}, false), op(2, 3, Withdraw{}, Done)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.check(c.ops)
			must.Eq(t, c.legal, err == nil, must.Sprint(err))
		})
	}
}

// Guards against a rate check that covers only intervals of one length or the
// whole run.
func TestRateLimit(t *testing.T) {
	start := time.Unix(0, 0)
	var times []time.Time
	add := func(n int, at time.Duration) {
		for range n {
			times = append(times, start.Add(at))
		}
	}
	add(5, 0)
	add(1, 100*time.Millisecond)
	add(5, 10*time.Second)
	must.NoError(t, RateLimit(10, 5, 0, times))
	add(1, 10*time.Second+50*time.Millisecond)
	must.Error(t, RateLimit(10, 5, 0, times))
	must.NoError(t, RateLimit(10, 5, 50*time.Millisecond, times))
	must.Error(t, RateLimit(10, 5, 49*time.Millisecond, times))
}
