// Package adapter contains the packages that implement the ports, one package for
// each external system or protocol.
package adapter
