// Package load runs agent programs against entry VMs as callers do, through a
// balancer without affinity, and checks the promises that a caller can see.
package load
