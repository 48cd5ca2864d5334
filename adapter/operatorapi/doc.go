// Package operatorapi is the operators' front end: JSON over HTTP with an
// operator's token, and the client that the command line uses. Changes carry
// an operation id, so that a resend after a lost answer has the first outcome,
// and the version they are based on, so that one of two racing operators is
// told what changed.
package operatorapi
