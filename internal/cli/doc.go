// Package cli is the operators' command line. It prints tables for people and
// JSON for programs, and maps failures to documented exit codes.
package cli
