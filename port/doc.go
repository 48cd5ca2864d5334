// Package port defines the interfaces between the node and its adapters: clock,
// disk, peers, targets, engine control, VM list, metrics, history store, and the
// front ends for callers and operators.
package port
