// Package node runs the control goroutine and the traffic operations of a VM.
package node
