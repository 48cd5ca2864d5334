// Package adapter is the root of the packages that implement the ports, one
// for each outside thing.
package adapter
