package gate

import (
	"bytes"

	"carawaycross.example/carawaycross/core/ident"
)

// A head counts the bytes and the lines of a request's head as they arrive.
type head struct {
	bytes, lines ident.Bytes
	// lineBytes is the length of the line that is arriving, and named is true after a line
	// that is not empty. Together they show the empty line that ends the head.
	lineBytes int
	named     bool
	// ended is true after the empty line. What follows is the body or the next head.
	ended bool
}

// add counts bytes that have arrived, up to the end of the head. It returns the rest.
func (h *head) add(p []byte) (rest []byte) {
	for len(p) > 0 && !h.ended {
		line, after, whole := bytes.Cut(p, []byte("\n"))
		h.bytes += ident.Bytes(len(p) - len(after))
		h.lineBytes += len(bytes.TrimSuffix(line, []byte("\r")))
		if whole {
			h.lines++
			h.ended = h.lineBytes == 0 && h.named
			h.named = h.named || h.lineBytes > 0
			h.lineBytes = 0
		}
		p = after
	}
	return p
}

// cost returns the memory of the head beyond what needs no reservation.
func (h *head) cost() ident.Bytes {
	return max(h.bytes-freeHeadBytes, 0) + fieldCost*max(h.lines-freeHeadLines, 0)
}

// next returns the counts of a head of which a part has arrived behind another request. It
// does not look for the end of that head.
func next(p []byte) head {
	return head{bytes: ident.Bytes(len(p)), lines: ident.Bytes(bytes.Count(p, []byte("\n")))}
}
