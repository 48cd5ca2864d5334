// Package httpapi is the front end for callers: the OpenAI chat completions
// protocol, plain services under a path of their own, and the calls that read
// and end programs. It encodes and decodes; every decision is the node's.
package httpapi
