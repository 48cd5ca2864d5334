// Package cli implements the operators' command line. It prints tables or JSON and
// maps errors to documented exit codes.
package cli
