package connlimit

import "bytes"

const (
	// headByteCost is the memory for each byte of a head: the buffers in which it is read,
	// its copy for another router, and the strings of the header map.
	headByteCost = 4
	// lineCost is the memory for each line of a head: entries of the header map, of its copy
	// and of the list of fields that is sent to another router. With 3,840 lines `a:` and 1,900
	// lines of different names, 90 and 106 bytes a line were measured for the first of these.
	lineCost = 256
)

// RequestCost is the memory of a request in progress beyond its head and bodies: the stacks of
// its goroutines, which grow while it is forwarded, its contexts and timers, and the buffers of
// the connection on which it is forwarded. 8,000 pipelined requests of 40 bytes took 120 MB.
const RequestCost = 16 << 10

// HeadCost returns the bytes of memory that are charged for a part of a request head.
func HeadCost(size, lines int) int64 {
	return int64(size)*headByteCost + int64(lines)*lineCost
}

// Head counts the bytes and lines of a request head of HTTP/1 as they arrive. The zero value
// is ready for the first byte.
type Head struct {
	requestLine, fields, lines int
	// line is the number of bytes of the current line, and last the last of them.
	line  int
	last  byte
	ended bool
}

// Add counts the bytes of p up to the end of the head. It returns the number of bytes and
// lines that it has counted.
func (h *Head) Add(p []byte) (size, lines int) {
	for len(p) > 0 && !h.ended {
		part := p
		end := bytes.IndexByte(p, '\n')
		if end >= 0 {
			part = p[:end+1]
		}
		p = p[len(part):]
		size += len(part)
		if h.lines == 0 {
			h.requestLine += len(part)
		} else {
			h.fields += len(part)
		}
		if end < 0 {
			h.line += len(part)
			h.last = part[len(part)-1]
			continue
		}
		if len(part) > 1 {
			h.last = part[len(part)-2]
		}
		h.endLine(h.line + len(part) - 1)
		lines++
	}
	return size, lines
}

// endLine records the end of a line of n bytes without its line feed.
func (h *Head) endLine(n int) {
	empty := n == 0 || (n == 1 && h.last == '\r')
	if empty && h.lines > 0 {
		h.ended = true
		h.fields -= n + 1
	}
	h.lines++
	h.line = 0
}

// Ended reports whether the head is complete.
func (h *Head) Ended() bool {
	return h.ended
}

// Exceeds reports whether the header fields, or the request line, have more bytes than the
// limit.
func (h *Head) Exceeds(limit int) bool {
	return h.fields > limit || h.requestLine > limit
}
