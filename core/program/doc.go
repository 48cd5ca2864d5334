// Package program manages the programs of one shard at its owner: the order of
// their calls, limits, run-once records, history index, crash suspects and the
// release of engine memory.
//
// State that has records changes only in Apply and by expiry. A decision applies its
// records itself and returns them. Messages that depend on the records are
// deferred until the caller reports them as committed (Store.Committed). So no
// call starts and no answer is confirmed before its record is durable and
// replicated.
//
// # Limits
//
// A call beyond the limit on turns and the end of the wall time both end the
// program. A call is refused without ending the program if it exceeds the
// program's budget or a limit on repeated calls or concurrency, or if its model
// is not in the preset, because another call may be allowed. A token limit above
// the preset's is lowered to the preset's.
//
// # Sub-agents
//
// A child program belongs to its parent's shard: the entry VM sends every call
// of a child to the shard of the topmost parent. A reservation or charge counts
// towards the program of the call and all its ancestors at once. So the budget
// of a program bounds the sum of its own charges and those of all its
// descendants, and no amount has to be set aside for a child that may not use
// it. A child's own budget limit is what remains of its parent's budget when
// its first call starts. The end of a parent ends its children.
//
// # Run-once calls
//
// The record CallStarted is committed before StartCall is sent to the entry VM.
// From then on a run-once call is not placed again, unless the entry VM reports
// that the target refused it or that no connection to the target could be made.
// A call that the entry VM did not send is refused as not run. An idempotency key
// is valid within its program.
//
// # Crash suspects
//
// When a target crashes with k requests in flight, each of them gets suspicion
// 1/k, the probability that it is the cause if exactly one of them is. A
// suspect is sent again only to a target with nothing else in flight. It is
// refused after two crashes if it was alone in at least one of them. A call
// that completes ends the suspicion of its request.
//
// Let h be the probability that a target fails during a call for a reason other
// than its requests. An innocent request is refused with probability h*h when
// both crashes are independent, and with probability h when it first ran next
// to a crashing request. With one such failure per target in 30 days and calls
// of 60 s, h is 2.3e-5 and h*h is 5e-10. Without the second run, 1-1/k of the
// refusals would hit innocent requests. A crashing request stops at most two
// targets, because it is alone in its second run.
package program
