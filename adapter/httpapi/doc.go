// Package httpapi implements the HTTP front end for callers: the OpenAI chat
// completions protocol, plain services under /v1/services, and the requests
// that read and end programs. It only decodes requests and encodes responses;
// the node makes every decision.
package httpapi
