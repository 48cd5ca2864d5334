// Package check checks the linearizability of recorded histories of concurrent
// runs against small sequential models of the guarantees to callers and
// operators. A history is a list of operations with the times of their invocations
// and responses. An operation without a response may or may not have taken effect.
package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// NoResponse is the Return of an operation whose outcome is unknown.
const NoResponse = int64(1) << 62

// searchLimit limits the search for a legal order. A search that times out counts
// as a failure, because it proves nothing.
const searchLimit = 20 * time.Second

// Outcome is the outcome of an operation as the caller received it.
type Outcome int

// The possible outcomes.
const (
	// Unknown operations may have taken effect, or may still do so.
	Unknown Outcome = iota
	// Done operations have taken effect.
	Done
	// NotRun operations have not taken effect and will not.
	NotRun
)

// Op is one operation on the object named by Key.
type Op struct {
	Key    string
	Client int
	// Call and Return are the times of invocation and response, in nanoseconds of
	// the same clock.
	Call, Return int64
	Input        any
	Output       any
}

// check searches for a legal order of each object's operations. The error lists
// the objects for which none was found.
func check(name string, model porcupine.Model, ops []Op) error {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range ops {
		byKey[op.Key] = append(byKey[op.Key], porcupine.Operation{ClientId: op.Client, Input: op.Input, Call: op.Call, Output: op.Output, Return: op.Return})
	}
	var illegal []string
	for key, history := range byKey {
		if result := porcupine.CheckOperationsTimeout(model, history, searchLimit); result != porcupine.Ok {
			illegal = append(illegal, fmt.Sprintf("%s (%s, %d operations)", key, result, len(history)))
		}
	}
	if len(illegal) == 0 {
		return nil
	}
	slices.Sort(illegal)
	return fmt.Errorf("%s: no legal order of the operations on %s", name, strings.Join(illegal, ", "))
}

// Append is the input of an operation that appends a turn to a program. The turn
// is named after its call.
type Append struct{ Call string }

// Appended is the output of Append. Turn is the turn's number, from 1.
type Appended struct {
	Outcome Outcome
	Turn    int
}

// Read is the input of an operation that reads a program's turns. Its output is
// of type Turns.
type Read struct{}

// Turns lists the calls of a program's turns in order.
type Turns []string

// Programs checks that each program behaves as a list to which calls append turns
// one at a time: no turn is lost, reordered, repeated or added without a call.
func Programs(ops []Op) error {
	return check("programs", porcupine.Model{
		Init:  func() any { return Turns{} },
		Equal: func(a, b any) bool { return slices.Equal(a.(Turns), b.(Turns)) },
		Step: func(state, input, output any) (bool, any) {
			turns := state.(Turns)
			if _, read := input.(Read); read {
				return slices.Equal(turns, output.(Turns)), turns
			}
			out := output.(Appended)
			switch out.Outcome {
			case NotRun:
				return true, turns
			case Unknown:
				// An append that did not take effect is ordered after all other operations.
				return true, append(slices.Clone(turns), input.(Append).Call)
			default:
				return out.Turn == len(turns)+1, append(slices.Clone(turns), input.(Append).Call)
			}
		},
	}, ops)
}

// Execute is the input of the execution of a request by a target.
type Execute struct{}

// Request is the input of a caller's request. Its output is of type Outcome.
type Request struct{}

// RunOnce checks run-once requests: each is executed at most once, a request with
// outcome NotRun is executed neither before nor after that response, and outcome
// Done follows an execution.
func RunOnce(ops []Op) error {
	const (
		fresh = iota
		executed
		refused
	)
	return check("run once", porcupine.Model{
		Init: func() any { return fresh },
		Step: func(state, input, output any) (bool, any) {
			if _, execute := input.(Execute); execute {
				return state == fresh, executed
			}
			switch output.(Outcome) {
			case Done:
				return state == executed, state
			case NotRun:
				return state != executed, refused
			default:
				return true, state
			}
		},
	}, ops)
}

// Charge is the input of a call that is charged to a budget. Its output is of type
// Outcome.
type Charge struct{ Amount int64 }

// Total is the input of an operation that reads the spend. Its output is the sum
// as an int64.
type Total struct{}

// Budget checks that the totals read are the sums of the charges, and that the
// spend after each charge with outcome Done is within the limit.
func Budget(limit int64, ops []Op) error {
	return check("budget", porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			spent := state.(int64)
			charge, ok := input.(Charge)
			switch {
			case !ok:
				return output.(int64) == spent, spent
			case output.(Outcome) == NotRun:
				return true, spent
			default:
				// A charge that did not take effect is ordered after all other operations,
				// so the limit does not apply to a charge with an unknown outcome.
				spent += charge.Amount
				return output.(Outcome) == Unknown || spent <= limit, spent
			}
		},
	}, ops)
}

// Set is the input of a configuration change. Operation is its idempotency key,
// Base the version on which it is based, or 0 for any.
type Set struct {
	Operation string
	Base      uint64
	Value     string
}

// Changed is the output of Set. Version is the version of the change, or 0 for a
// conflict.
type Changed struct {
	Outcome Outcome
	Version uint64
}

// Get is the input of an operation that reads the value in force. Its output is
// the value as a string.
type Get struct{}

// register is the state of a configuration object.
type register struct {
	version uint64
	value   string
	// applied lists the applied operations, each as |operation=version.
	applied string
}

// Configuration checks that each object is a register with versions: a change with
// a stale base conflicts, a resent change returns its first outcome, and values do
// not revert.
func Configuration(ops []Op) error {
	return check("configuration", porcupine.Model{
		Init: func() any { return register{} },
		Step: func(state, input, output any) (bool, any) {
			r := state.(register)
			set, ok := input.(Set)
			if !ok {
				return output.(string) == r.value, r
			}
			out := output.(Changed)
			if _, after, again := strings.Cut(r.applied, "|"+set.Operation+"="); again {
				first, _, _ := strings.Cut(after, "|")
				return out.Outcome == Unknown || out.Outcome == Done && fmt.Sprint(out.Version) == first, r
			}
			conflict := set.Base != 0 && r.version > set.Base
			switch {
			case out.Outcome == Unknown && conflict:
				return true, r
			case out.Outcome == Unknown:
				return true, register{r.version, set.Value, r.applied}
			case out.Outcome == NotRun:
				return conflict, r
			default:
				next := register{out.Version, set.Value, fmt.Sprintf("%s|%s=%d", r.applied, set.Operation, out.Version)}
				return !conflict && out.Version > r.version, next
			}
		},
	}, ops)
}

// Withdraw is the input of the withdrawal of a key. Its output is of type Outcome.
type Withdraw struct{}

// Use is the input of a request with a key. Its output is true if the key was
// accepted.
type Use struct{}

// Withdrawals checks that a key is accepted until its withdrawal and refused
// afterwards. A withdrawal reaches all VMs within the bound, so its operation is
// extended by that time.
func Withdrawals(bound time.Duration, ops []Op) error {
	extended := slices.Clone(ops)
	for i := range extended {
		if _, ok := extended[i].Input.(Withdraw); ok && extended[i].Return != NoResponse {
			extended[i].Return += int64(bound)
		}
	}
	for i := range extended {
		// Between the invocation and the bound some VMs refuse the key and others
		// accept it, so a refusal in that time does not imply an order.
		if _, use := extended[i].Input.(Use); use && extended[i].Output == false && overlapsWithdrawal(extended[i], extended) {
			extended[i].Output = nil
		}
	}
	return check("withdrawals", porcupine.Model{
		Init: func() any { return false },
		Step: func(state, input, output any) (bool, any) {
			if _, withdraw := input.(Withdraw); withdraw {
				return true, true
			}
			return output == nil || output.(bool) != state.(bool), state
		},
	}, extended)
}

// overlapsWithdrawal reports whether a use is concurrent with a withdrawal of the
// same key.
func overlapsWithdrawal(use Op, ops []Op) bool {
	return slices.ContainsFunc(ops, func(o Op) bool {
		_, ok := o.Input.(Withdraw)
		return ok && use.Key == o.Key && use.Return >= o.Call && use.Call <= o.Return
	})
}

// RateLimit checks that every time interval has at most burst + rate·length
// arrivals, where the rate is per second and an arrival follows its admission by
// at most the delay.
func RateLimit(rate, burst float64, delay time.Duration, arrivals []time.Time) error {
	times := slices.Clone(arrivals)
	slices.SortFunc(times, time.Time.Compare)
	// With lag = index − rate·time, the interval from i to j is within the limit if
	// and only if lag(j) − lag(i) + 1 ≤ burst + rate·delay. The lowest lag so far
	// therefore gives the interval with the largest excess.
	lowest, from := 0.0, 0
	for i, t := range times {
		lag := float64(i) - rate*t.Sub(times[0]).Seconds()
		if i == 0 || lag < lowest {
			lowest, from = lag, i
		}
		if excess := lag - lowest + 1 - burst - rate*delay.Seconds(); excess > 1e-6 {
			return fmt.Errorf("rate limit: %d arrivals in %v, %.2f above rate %v and burst %v", i-from+1, t.Sub(times[from]), excess, rate, burst)
		}
	}
	return nil
}
