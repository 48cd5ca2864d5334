package httpapi

import "time"

// noDeadline removes a deadline from a connection.
var noDeadline time.Time

func deadlineAfter(d time.Duration) time.Time { return time.Now().Add(d) }
