// Package layout contains the test that enforces the permitted import directions
// between the core, the ports, the adapters and the node.
package layout
