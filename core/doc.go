// Package core is the root of the decision packages. They are pure state
// machines: events and the current time go in, decisions, messages and records
// come out.
package core
