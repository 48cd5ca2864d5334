// Package operatorapi implements the operators' front end, JSON over HTTP
// authenticated by an operator's token, and the client that the command line
// uses. A change carries an operation id, which makes it idempotent: a resend
// after a lost response returns the first outcome. It also carries the version
// that it is based on, so that of two concurrent changes one is rejected as a
// conflict.
package operatorapi
