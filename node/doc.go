// Package node runs the control goroutine and the traffic operations of a VM.
// One goroutine owns the control state; traffic goroutines reach it through a
// mailbox.
package node
