// Package check holds small sequential models of what callers and operators
// may rely on, and checks recorded histories of concurrent runs against them.
// A history is a list of operations with the times of their invocations and
// responses; an operation without a response may have happened or not.
package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// NoResponse is the response time of an operation without a certain outcome.
const NoResponse = int64(1) << 62

// searchLimit bounds the search for a legal order. A search that does not end
// counts as a failure, because it proves nothing.
const searchLimit = 20 * time.Second

// Outcome is what the caller learned about an operation.
type Outcome int

// The outcomes.
const (
	// Unknown operations may have happened, now or later.
	Unknown Outcome = iota
	// Done operations have happened.
	Done
	// NotRun operations have not happened and never will.
	NotRun
)

// Op is one operation on the object that Key names.
type Op struct {
	Key    string
	Client int
	// Call and Return are nanoseconds on one clock.
	Call, Return int64
	Input        any
	Output       any
}

// check searches for a legal order of each object's operations.
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

// Append is the input of a program's next turn, which is named by its call.
type Append struct{ Call string }

// Appended is the output of Append.
type Appended struct {
	Outcome Outcome
	Turn    int
}

// Read is the input that reads a program's turns; its output is a Turns.
type Read struct{}

// Turns lists the calls of a program's turns.
type Turns []string

// Programs checks that each program is a register to which calls append turns
// one at a time, and whose turns are never lost, reordered or mixed.
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
				// The order at the end of the history stands for "never happened".
				return true, append(slices.Clone(turns), input.(Append).Call)
			default:
				return out.Turn == len(turns)+1, append(slices.Clone(turns), input.(Append).Call)
			}
		},
	}, ops)
}

// Execute is the input of a target that runs a request.
type Execute struct{}

// Request is the input of a caller's request; its output is an Outcome.
type Request struct{}

// RunOnce checks requests that may run at most once: each is executed at most
// once, a "not run" answer is never followed or preceded by an execution, and
// an answer follows one.
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

// Charge is the input of a served call; its output is an Outcome.
type Charge struct{ Amount int64 }

// Total is the input that reads the spend; its output is the sum as an int64.
type Total struct{}

// Budget checks that charges sum to the totals read and never exceed a limit.
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
				// An uncertain charge at the end of the history may never have happened.
				spent += charge.Amount
				return output.(Outcome) == Unknown || spent <= limit, spent
			}
		},
	}, ops)
}

// Set is the input of a configuration change.
type Set struct {
	Operation string
	Base      uint64
	Value     string
}

// Changed is the output of Set. The version is that of the change, or 0 for a
// conflict.
type Changed struct {
	Outcome Outcome
	Version uint64
}

// Get is the input that reads an object in force; its output is the value.
type Get struct{}

type register struct {
	version uint64
	value   string
	// applied lists operations with their versions, as operation=version.
	applied string
}

// Configuration checks that each object is a register with versions: a change
// of a stale version conflicts, a resend has the first outcome, and values never
// revert.
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

// Withdraw is the input of a key's withdrawal; its output is an Outcome.
type Withdraw struct{}

// Use is the input of a request with a key; its output says whether the key was
// accepted.
type Use struct{}

// Withdrawals checks that a key works until its withdrawal and never afterwards.
// A VM may take the bound to learn of it, so the withdrawal counts as lasting
// that long.
func Withdrawals(bound time.Duration, ops []Op) error {
	extended := slices.Clone(ops)
	for i := range extended {
		if _, ok := extended[i].Input.(Withdraw); ok && extended[i].Return != NoResponse {
			extended[i].Return += int64(bound)
		}
	}
	for i := range extended {
		// Between invocation and bound some VMs refuse and others accept, so only
		// uses after the bound are ordered after the withdrawal.
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

func overlapsWithdrawal(use Op, ops []Op) bool {
	return slices.ContainsFunc(ops, func(o Op) bool {
		_, ok := o.Input.(Withdraw)
		return ok && use.Key == o.Key && use.Return >= o.Call && use.Call <= o.Return
	})
}

// RateLimit checks that every window of time has at most burst + rate·length
// arrivals, where an arrival follows its admission by at most the delay.
func RateLimit(rate, burst float64, delay time.Duration, arrivals []time.Time) error {
	times := slices.Clone(arrivals)
	slices.SortFunc(times, time.Time.Compare)
	// With lag = index − rate·time, a window from i to j is legal if and only if
	// lag(j) − lag(i) + 1 ≤ burst + rate·delay, so the lowest lag so far decides.
	lowest, from := 0.0, 0
	for i, t := range times {
		lag := float64(i) - rate*t.Sub(times[0]).Seconds()
		if i == 0 || lag < lowest {
			lowest, from = lag, i
		}
		if excess := lag - lowest + 1 - burst - rate*delay.Seconds(); excess > 1e-6 {
			return fmt.Errorf("window: %d arrivals in %v, %.2f above rate %v and burst %v", i-from+1, t.Sub(times[from]), excess, rate, burst)
		}
	}
	return nil
}
