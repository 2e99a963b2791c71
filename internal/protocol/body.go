package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Body decodes the framing of a message body incrementally (RFC 9112, 6 and 7.1).
type Body struct {
	remaining  int64 // bytes left in the body, or in the current chunk
	chunked    bool
	untilClose bool       // the body ends when the connection is closed
	ofRequest  bool       // chunk lines must end in CRLF, and their length is limited, see maxFramingExcess
	state      chunkState // state of a chunked body
	excess     int        // bytes of framing less those of data so far, of a chunked body
}

// BodyPiece is the result of decoding the start of a body's input.
type BodyPiece struct {
	Data     []byte // body data without framing; may be empty
	Consumed int    // consumed bytes of input, including framing; 0 if more input is needed or the body is complete
}

// chunkState is the next expected element of a chunked body.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkDataEnd // empty line after the data of a chunk
	chunkTrailer
	chunkedBodyDone
)

// maxChunkLineBytes is the maximum length of a chunk size line, and of a trailer field.
const maxChunkLineBytes = 1 << 10

// maxFramingExcess is how many more bytes of framing than of data a chunked body of a request may have, trailers included.
// Chunks of a few bytes cost many times more processor time than their data.
const maxFramingExcess = 16 << 10

// Number formats of the framing.
const (
	contentLengthBase = 10
	chunkSizeBase     = 16
	maxLengthBits     = 62 // maximum size of a length or chunk size in bits, so that it fits an int64
)

// RequestBody returns a decoder for the body of a request with the given head. A request without a length has no body.
//
// It returns ErrMalformed for framing that parsers interpret differently: two lengths, a length together with a
// transfer coding (RFC 9112, 6.3), or a transfer coding in HTTP/1.0 (RFC 9112, 6.1).
func RequestBody(h *Head) (Body, error) {
	if len(h.values(fieldTransferEncoding)) > 0 && h.minorVersion == 0 {
		return Body{}, fmt.Errorf("%w: transfer-encoding in HTTP/1.0", ErrMalformed)
	}
	body, err := parseFraming(h)
	body.ofRequest = true
	return body, err
}

// ResponseBody returns a decoder for the body of a response with the given head. The body of a response without a
// length ends when the connection is closed, unless the status does not allow a body (RFC 9112, 6.3). It returns
// ErrMalformed for invalid framing.
func ResponseBody(h *Head) (Body, error) {
	if forbidsBody(h.Status) {
		return Body{}, nil
	}
	body, err := parseFraming(h)
	body.untilClose = err == nil && !h.has(fieldTransferEncoding) && !h.has(fieldContentLength)
	return body, err
}

// forbidsBody reports whether a response with the given status has no body, regardless of its header fields (RFC 9112,
// 6.3).
func forbidsBody(status int) bool {
	return IsInterim(status) || status == StatusNoContent || status == StatusNotModified
}

// parseFraming returns a decoder for the body that Content-Length and Transfer-Encoding describe. The body is empty if
// the head has neither field.
func parseFraming(h *Head) (Body, error) {
	lengths, codings := h.values(fieldContentLength), h.values(fieldTransferEncoding)
	switch {
	case len(codings) > 0:
		if len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return Body{}, fmt.Errorf("%w: transfer-encoding %.40q", ErrMalformed, codings)
		}
		return Body{chunked: true}, nil
	case len(lengths) > 0:
		length, err := strconv.ParseUint(lengths[0], contentLengthBase, maxLengthBits)
		if err != nil || len(lengths) > 1 {
			return Body{}, fmt.Errorf("%w: content-length %.40q", ErrMalformed, lengths)
		}
		return Body{remaining: int64(length)}, nil
	}
	return Body{}, nil
}

// Length returns the length of the body in bytes, or 0 if it is unknown. It must be called before the first call of
// Next, which reduces it.
func (b *Body) Length() int64 {
	if b.chunked {
		return 0
	}
	return b.remaining
}

// MaxBufferBytes returns the maximum number of bytes needed to buffer a body of at most MaxBodyBytes. It returns 0 for
// a body that ends when the connection is closed. It must be called before the first call of Next.
func (b *Body) MaxBufferBytes() int64 {
	if b.chunked {
		return MaxBodyBytes
	}
	return min(b.remaining, MaxBodyBytes)
}

// Done reports whether the body is complete.
func (b *Body) Done() bool {
	if b.chunked {
		return b.state == chunkedBodyDone
	}
	return !b.untilClose && b.remaining == 0
}

// EndsWithConnection reports whether the body ends when the connection is closed.
func (b *Body) EndsWithConnection() bool { return b.untilClose }

// Next decodes the next piece from the start of the input. It returns ErrMalformed for invalid framing.
func (b *Body) Next(input []byte) (BodyPiece, error) {
	switch {
	case b.untilClose:
		return BodyPiece{Data: input, Consumed: len(input)}, nil
	case !b.chunked || b.state == chunkData:
		n := int(min(int64(len(input)), b.remaining))
		b.remaining -= int64(n)
		b.excess -= n
		if b.remaining == 0 {
			b.state = chunkDataEnd
		}
		return BodyPiece{Data: input[:n], Consumed: n}, nil
	case b.state == chunkedBodyDone:
		return BodyPiece{}, nil
	}
	lineBytes, err := b.consumeChunkLine(input)
	return BodyPiece{Consumed: lineBytes}, err
}

// consumeChunkLine parses the framing line at the start of the input. It returns the length of the line in bytes, or 0
// if the line is incomplete.
func (b *Body) consumeChunkLine(input []byte) (int, error) {
	end := bytes.IndexByte(input, '\n')
	if end < 0 && len(input) > maxChunkLineBytes || end > maxChunkLineBytes {
		return 0, fmt.Errorf("%w: chunk line of more than %d bytes", ErrMalformed, maxChunkLineBytes)
	}
	if end < 0 {
		return 0, nil
	}
	line, hasCR := strings.CutSuffix(string(input[:end]), "\r")
	if b.ofRequest && !hasCR {
		return 0, fmt.Errorf("%w: chunk line that ends in a bare LF", ErrMalformed)
	}
	b.excess += end + 1
	if b.ofRequest && b.excess > maxFramingExcess {
		return 0, fmt.Errorf("%w: %d more bytes of chunk lines than of data", ErrMalformed, b.excess)
	}
	if err := b.parseChunkLine(line); err != nil {
		return 0, err
	}
	return end + 1, nil
}

// parseChunkLine parses a framing line without its line end: a chunk size, the empty line after the data of a chunk, or
// a trailer field. Trailer fields are ignored.
func (b *Body) parseChunkLine(line string) error {
	switch b.state {
	case chunkDataEnd:
		if line != "" {
			return fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		b.state = chunkSize
	case chunkTrailer:
		if line == "" {
			b.state = chunkedBodyDone
		}
	case chunkSize:
		digits, _, _ := strings.Cut(line, ";") // chunk extensions are ignored
		size, err := strconv.ParseUint(strings.TrimSpace(digits), chunkSizeBase, maxLengthBits)
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
