// Package program decides about the programs of one owned shard: the order of
// their calls, limits, run-once records, history index, crash suspects and the
// release of engine memory.
//
// State changes only in Apply. A decision applies its records itself and
// returns them; messages that depend on them are kept back until the caller
// reports the records as committed (Store.Committed). So no call starts and no
// answer is confirmed before its record is durable and replicated.
//
// # Limits
//
// Turns and wall time end the program. The program's budget, repeated calls,
// concurrency and the preset's models refuse the call only, because another
// call may still fit. A token limit above the preset's is lowered to it.
//
// # Sub-agents
//
// A child lives in its parent's shard: the entry VM sends every call of a child
// to the shard of the topmost parent. A call counts to its program and to all
// ancestors at once, both while it is reserved and when it is charged. So the
// budget of a program bounds the sum of its own charges and those of all its
// descendants, without amounts set aside that a child does not use. A child's
// own bound is what is left of its parent's when its first call starts. The end
// of a parent ends its children.
//
// # Run-once calls
//
// The record CallStarted is committed before the entry VM is told to send the
// call. From then on the call is never placed again, unless the entry VM states
// that it did not send it or that the target refused it. An idempotency key is
// valid within its program.
//
// # Crash suspects
//
// When a target crashes with k requests in flight, each of them gets suspicion
// 1/k, the probability that it is the cause if exactly one of them is. A
// suspect is sent again only to a target with nothing else in flight. It is
// refused after two crashes of which it was alone in at least one; completion
// clears it. With h the probability that a target fails by itself during one
// call, an innocent request is refused with probability h*h when both crashes
// are independent, and with h when it first ran next to a crashing request.
// With one such failure per target in 30 days and calls of 60 s, h is 2.3e-5
// and h*h is 5e-10. Without the second run, 1-1/k of the refusals would hit
// innocent requests. A crashing request stops at most two targets, because its
// second run is alone and decides.
package program
