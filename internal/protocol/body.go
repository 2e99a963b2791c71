package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Body takes a message's body out of its framing, piece by piece.
type Body struct {
	left    int64 // of the body, or of the chunk at hand
	chunked bool
	toEnd   bool // it lasts until the connection ends
	strict  bool // lines have to end as they should
	state   chunkState
}

type chunkState uint8

const (
	atSize chunkState = iota
	inData
	afterData
	inTrailer
	atEnd
)

// mostSizeLine bounds the line with a chunk's size, and each line of the trailer.
const mostSizeLine = 1 << 10

// RequestBody is the body that a head announces. A length twice, or with a coding, could be read in two ways.
func RequestBody(h *Head) (Body, error) {
	if len(h.all("transfer-encoding")) > 0 && h.minor == 0 {
		return Body{}, fmt.Errorf("%w: transfer-encoding in HTTP/1.0", ErrMalformed)
	}
	b, err := frame(h, false)
	b.strict = true
	return b, err
}

// ResponseBody is the body that the head of an answer announces.
func ResponseBody(h *Head) (Body, error) {
	if h.Status < 200 || h.Status == 204 || h.Status == 304 {
		return Body{}, nil
	}
	return frame(h, true)
}

func frame(h *Head, toEnd bool) (Body, error) {
	lengths, codings := h.all("content-length"), h.all("transfer-encoding")
	switch {
	case len(codings) > 0:
		if len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return Body{}, fmt.Errorf("%w: transfer-encoding %.40q", ErrMalformed, codings)
		}
		return Body{chunked: true}, nil
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || len(lengths) > 1 {
			return Body{}, fmt.Errorf("%w: content-length %.40q", ErrMalformed, lengths)
		}
		return Body{left: int64(n)}, nil
	}
	return Body{toEnd: toEnd}, nil
}

// Length is the announced length, 0 where it is not known yet.
func (b *Body) Length() int64 {
	if b.chunked {
		return 0
	}
	return b.left
}

// MaxRead is the most that a body that is taken can hold.
func (b *Body) MaxRead() int64 {
	if b.chunked {
		return MaxBodyBytes
	}
	return min(b.left, MaxBodyBytes)
}

// Done tells whether the body is whole.
func (b *Body) Done() bool {
	if b.chunked {
		return b.state == atEnd
	}
	return !b.toEnd && b.left == 0
}

// EndsWithConnection tells whether the end of the connection makes the body whole.
func (b *Body) EndsWithConnection() bool { return b.toEnd }

// Next takes the next piece from the start of in: data is part of the body, used how many bytes were taken.
// With none taken, more must come first.
func (b *Body) Next(in []byte) (data []byte, used int, err error) {
	switch {
	case b.toEnd:
		return in, len(in), nil
	case !b.chunked || b.state == inData:
		n := int(min(int64(len(in)), b.left))
		if b.left -= int64(n); b.left == 0 {
			b.state = afterData
		}
		return in[:n], n, nil
	case b.state == atEnd:
		return nil, 0, nil
	}
	end := bytes.IndexByte(in, '\n')
	if end < 0 && len(in) > mostSizeLine || end > mostSizeLine {
		return nil, 0, fmt.Errorf("%w: chunk line too long", ErrMalformed)
	}
	if end < 0 {
		return nil, 0, nil
	}
	line, whole := strings.CutSuffix(string(in[:end]), "\r")
	if b.strict && !whole {
		return nil, 0, fmt.Errorf("%w: chunk line that ends in a bare LF", ErrMalformed)
	}
	if err := b.takeLine(line); err != nil {
		return nil, 0, err
	}
	return nil, end + 1, nil
}

// takeLine takes one line between the data of chunks, without its end: a chunk's size, the empty line after its
// data, or a line of the trailer.
func (b *Body) takeLine(line string) error {
	switch b.state {
	case afterData:
		if line != "" {
			return fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		b.state = atSize
	case inTrailer:
		if line == "" {
			b.state = atEnd
		}
	case atSize:
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 62)
		if err != nil {
			return fmt.Errorf("%w: chunk size %.40q", ErrMalformed, line)
		}
		if b.left, b.state = int64(n), inData; n == 0 {
			b.state = inTrailer
		}
	}
	return nil
}
