package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Body takes a message's body out of its framing, piece by piece (RFC 9112, 6 and 7.1).
type Body struct {
	remaining   int64 // bytes that are still to come of the body, or of the present chunk
	chunked     bool
	untilClose  bool       // the body ends with the connection
	strictLines bool       // chunk lines must end in CRLF
	state       chunkState // of a chunked body
}

// BodyPiece is the next piece of a body's input.
type BodyPiece struct {
	Data []byte // of the body, without framing; it may be empty
	Used int    // bytes of the input that the piece takes, with its framing; 0 where more input is needed
}

// chunkState says what comes next in a chunked body.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkDataEnd // the empty line after the data
	chunkTrailer
	chunksDone
)

// maxChunkLineBytes is the length of the longest line with a chunk's size, and of the longest trailer field.
const maxChunkLineBytes = 1 << 10

// The numbers in a body's framing.
const (
	contentLengthBase = 10
	chunkSizeBase     = 16
	lengthBits        = 62 // of the largest length or chunk size, so that it fits an int64
)

// RequestBody returns the body that a request's head announces. One without a length is empty.
//
// The error is ErrMalformed for framing that parsers read in different ways. That is two lengths, a length beside a
// transfer coding (RFC 9112, 6.3), or a transfer coding in HTTP/1.0 (RFC 9112, 6.1).
func RequestBody(h *Head) (Body, error) {
	if len(h.values(fieldTransferEncoding)) > 0 && h.minorVersion == 0 {
		return Body{}, fmt.Errorf("%w: transfer-encoding in HTTP/1.0", ErrMalformed)
	}
	body, err := parseFraming(h)
	body.strictLines = true
	return body, err
}

// ResponseBody returns the body that a response's head announces. One without a length ends with the connection, unless
// the status allows no body (RFC 9112, 6.3). The error is ErrMalformed.
func ResponseBody(h *Head) (Body, error) {
	if allowsNoBody(h.Status) {
		return Body{}, nil
	}
	body, err := parseFraming(h)
	body.untilClose = err == nil && !h.has(fieldTransferEncoding) && !h.has(fieldContentLength)
	return body, err
}

// allowsNoBody reports whether a response with a status has no body, whatever its fields say (RFC 9112, 6.3).
func allowsNoBody(status int) bool {
	return IsInterim(status) || status == StatusNoContent || status == StatusNotModified
}

// parseFraming returns the body that the fields of the framing announce, an empty one where there are none.
func parseFraming(h *Head) (Body, error) {
	lengths, codings := h.values(fieldContentLength), h.values(fieldTransferEncoding)
	switch {
	case len(codings) > 0:
		if len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return Body{}, fmt.Errorf("%w: transfer-encoding %.40q", ErrMalformed, codings)
		}
		return Body{chunked: true}, nil
	case len(lengths) > 0:
		length, err := strconv.ParseUint(lengths[0], contentLengthBase, lengthBits)
		if err != nil || len(lengths) > 1 {
			return Body{}, fmt.Errorf("%w: content-length %.40q", ErrMalformed, lengths)
		}
		return Body{remaining: int64(length)}, nil
	}
	return Body{}, nil
}

// Length returns the announced length in bytes before the first call of Next, 0 where it isn't known.
func (b *Body) Length() int64 {
	if b.chunked {
		return 0
	}
	return b.remaining
}

// MaxRead returns how many bytes of memory the body takes at most, if it is no longer than MaxBodyBytes.
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

// EndsWithConnection reports whether the body is complete only when the connection is closed.
func (b *Body) EndsWithConnection() bool { return b.untilClose }

// Next takes the next piece from the start of the input. The error is ErrMalformed.
func (b *Body) Next(input []byte) (BodyPiece, error) {
	switch {
	case b.untilClose:
		return BodyPiece{Data: input, Used: len(input)}, nil
	case !b.chunked || b.state == chunkData:
		n := int(min(int64(len(input)), b.remaining))
		b.remaining -= int64(n)
		if b.remaining == 0 {
			b.state = chunkDataEnd
		}
		return BodyPiece{Data: input[:n], Used: n}, nil
	case b.state == chunksDone:
		return BodyPiece{}, nil
	}
	lineBytes, err := b.takeChunkLine(input)
	return BodyPiece{Used: lineBytes}, err
}

// takeChunkLine takes one line of the framing between the chunks' data. It returns the line's length in bytes, 0 while
// the line is incomplete.
func (b *Body) takeChunkLine(input []byte) (int, error) {
	end := bytes.IndexByte(input, '\n')
	if end < 0 && len(input) > maxChunkLineBytes || end > maxChunkLineBytes {
		return 0, fmt.Errorf("%w: chunk line of more than %d bytes", ErrMalformed, maxChunkLineBytes)
	}
	if end < 0 {
		return 0, nil
	}
	line, hasCR := strings.CutSuffix(string(input[:end]), "\r")
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
		size, err := strconv.ParseUint(strings.TrimSpace(digits), chunkSizeBase, lengthBits)
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
