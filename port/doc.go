// Package port holds the interfaces that the node needs from the outside:
// clock, disk, peers, targets, engine orders, VM list, metrics and history
// store.
package port
