// Package load runs agent programs against entry VMs as callers do, through a
// load balancer without affinity, and checks the guarantees that a caller can
// observe.
package load
