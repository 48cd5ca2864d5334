// Package layout holds the test that enforces the import direction between
// the core, the ports, the adapters and the node.
package layout
