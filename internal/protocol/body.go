package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Body takes a message's body out of its framing, piece by piece (RFC 9112, 6 and 7.1).
type Body struct {
	remaining   int64 // bytes of the body, or of the present chunk
	chunked     bool
	untilClose  bool // the close of the connection ends it
	strictLines bool // chunk lines have to end in CRLF
	state       chunkState
}

// chunkState is what comes next in a chunked body.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkDataEnd // the empty line after the data
	chunkTrailer
	chunksDone
)

// maxChunkLineBytes is the longest line with a chunk's size, and the longest trailer field.
const maxChunkLineBytes = 1 << 10

// RequestBody returns the body that a request's head announces. One without a length is empty. A length that is given
// twice, or together with a transfer coding, could be understood in two ways and is ErrMalformed (RFC 9112, 6.3), as
// is a transfer coding in HTTP/1.0 (RFC 9112, 6.1).
func RequestBody(h *Head) (Body, error) {
	if len(h.values(fieldTransferEncoding)) > 0 && h.minorVersion == 0 {
		return Body{}, fmt.Errorf("%w: transfer-encoding in HTTP/1.0", ErrMalformed)
	}
	body, err := parseFraming(h)
	body.strictLines = true
	return body, err
}

// ResponseBody returns the body that a response's head announces. One without a length lasts until the connection is
// closed, unless its status allows no body (RFC 9112, 6.3).
func ResponseBody(h *Head) (Body, error) {
	if h.Status < 200 || h.Status == 204 || h.Status == 304 {
		return Body{}, nil
	}
	body, err := parseFraming(h)
	body.untilClose = err == nil && !h.has(fieldTransferEncoding) && !h.has(fieldContentLength)
	return body, err
}

// parseFraming returns the body by the fields of its framing, an empty one without them.
func parseFraming(h *Head) (Body, error) {
	lengths, codings := h.values(fieldContentLength), h.values(fieldTransferEncoding)
	switch {
	case len(codings) > 0:
		if len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return Body{}, fmt.Errorf("%w: transfer-encoding %.40q", ErrMalformed, codings)
		}
		return Body{chunked: true}, nil
	case len(lengths) > 0:
		length, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || len(lengths) > 1 {
			return Body{}, fmt.Errorf("%w: content-length %.40q", ErrMalformed, lengths)
		}
		return Body{remaining: int64(length)}, nil
	}
	return Body{}, nil
}

// Length is the announced length in bytes before anything was taken, 0 where it isn't known.
func (b *Body) Length() int64 {
	if b.chunked {
		return 0
	}
	return b.remaining
}

// MaxRead is how many bytes the body has at most, if it is within MaxBodyBytes.
func (b *Body) MaxRead() int64 {
	if b.chunked {
		return MaxBodyBytes
	}
	return min(b.remaining, MaxBodyBytes)
}

// Done reports whether the body is complete.
func (b *Body) Done() bool {
	if b.chunked {
		return b.state == chunksDone
	}
	return !b.untilClose && b.remaining == 0
}

// EndsWithConnection reports whether the body is complete when the connection is closed, and not before.
func (b *Body) EndsWithConnection() bool { return b.untilClose }

// Next takes the next piece from the start of in. data is a part of the body, and used the number of bytes that were
// taken with the framing; 0 asks for more input. The error is ErrMalformed.
func (b *Body) Next(in []byte) (data []byte, used int, err error) {
	switch {
	case b.untilClose:
		return in, len(in), nil
	case !b.chunked || b.state == chunkData:
		n := int(min(int64(len(in)), b.remaining))
		b.remaining -= int64(n)
		if b.remaining == 0 {
			b.state = chunkDataEnd
		}
		return in[:n], n, nil
	case b.state == chunksDone:
		return nil, 0, nil
	}
	used, err = b.takeChunkLine(in)
	return nil, used, err
}

// takeChunkLine takes one line of the framing between the chunks' data. It returns the line's length, 0 while the line
// is incomplete.
func (b *Body) takeChunkLine(in []byte) (used int, err error) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 && len(in) > maxChunkLineBytes || end > maxChunkLineBytes {
		return 0, fmt.Errorf("%w: chunk line of more than %d bytes", ErrMalformed, maxChunkLineBytes)
	}
	if end < 0 {
		return 0, nil
	}
	line, hasCR := strings.CutSuffix(string(in[:end]), "\r")
	if b.strictLines && !hasCR {
		return 0, fmt.Errorf("%w: chunk line that ends in a bare LF", ErrMalformed)
	}
	if err := b.parseChunkLine(line); err != nil {
		return 0, err
	}
	return end + 1, nil
}

// parseChunkLine parses a line without its end: a chunk's size, the empty line after its data, or a trailer field,
// which is ignored.
func (b *Body) parseChunkLine(line string) error {
	switch b.state {
	case chunkDataEnd:
		if line != "" {
			return fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		b.state = chunkSize
	case chunkTrailer:
		if line == "" {
			b.state = chunksDone
		}
	case chunkSize:
		digits, _, _ := strings.Cut(line, ";") // extensions are ignored
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 62)
		if err != nil {
			return fmt.Errorf("%w: chunk size %.40q", ErrMalformed, line)
		}
		b.remaining = int64(size)
		b.state = chunkData
		if size == 0 {
			b.state = chunkTrailer
		}
	}
	return nil
}
