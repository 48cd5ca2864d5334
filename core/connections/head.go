package connections

import "bytes"

// HeadLimits bound what a client sends up to the end of a head; 0 means no limit.
type HeadLimits struct {
	// EmptyBytes bounds the line ends before a request line.
	EmptyBytes int
	// LineBytes bounds the request line.
	LineBytes int
	// HeadBytes and HeadLines bound the whole head, with the request line.
	HeadBytes, HeadLines int
}

const (
	// lineCost is the memory that a header line takes beside its bytes once it is parsed, in
	// the map of the server and in the one that is passed on.
	lineCost = 256
	// byteCost is the number of bytes that a byte of a head takes: a line is held as read, as its
	// buffer grows, and as a string.
	byteCost = 3
)

// HeadProgress follows the head of one request. The zero value is a head of which nothing was
// received.
type HeadProgress struct {
	empty, bytes, lines int
	// lineBytes is the size of the present line without its line feed, and startsWithReturn
	// whether its first byte is a carriage return.
	lineBytes        int
	startsWithReturn bool
	// Complete reports whether the empty line at the end was received.
	Complete bool
}

// Started reports whether a byte of the request line was received.
func (h *HeadProgress) Started() bool { return h.bytes > 0 }

// Cost returns the memory that the head takes.
func (h *HeadProgress) Cost() int { return h.bytes*byteCost + h.lines*lineCost }

// Add follows received bytes up to the end of the head. It returns the bound that they exceed, or "".
func (h *HeadProgress) Add(data []byte, l HeadLimits) Bound {
	for len(data) > 0 && !h.Complete {
		if h.bytes == 0 {
			skipped := len(data) - len(bytes.TrimLeft(data, "\r\n"))
			if h.empty += skipped; exceeds(h.empty, l.EmptyBytes) {
				return EmptyBytes
			}
			if data = data[skipped:]; len(data) == 0 {
				return ""
			}
		}
		n := bytes.IndexByte(data, '\n') + 1
		ends := n > 0
		if !ends {
			n = len(data)
		}
		h.add(data[:n], ends)
		data = data[n:]
		switch {
		case h.lines == 0 && exceeds(h.lineBytes, l.LineBytes):
			return LineBytes
		case exceeds(h.bytes, l.HeadBytes):
			return HeadBytes
		case exceeds(h.lines, l.HeadLines):
			return HeadLines
		}
		if ends {
			h.lines++
			h.lineBytes = 0
		}
	}
	return ""
}

// add follows bytes of one line. The head is complete at a line that is empty but for a carriage
// return.
func (h *HeadProgress) add(part []byte, ends bool) {
	h.bytes += len(part)
	if ends {
		part = part[:len(part)-1]
	}
	if h.lineBytes == 0 {
		h.startsWithReturn = len(part) > 0 && part[0] == '\r'
	}
	h.lineBytes += len(part)
	h.Complete = ends && (h.lineBytes == 0 || h.lineBytes == 1 && h.startsWithReturn)
}

func exceeds(n, limit int) bool { return limit > 0 && n > limit }
