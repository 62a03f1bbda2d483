package http1

import (
	"bufio"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// newBody returns a reader of a body of the length.
func newBody(r *bufio.Reader, length int64) io.Reader {
	switch length {
	case chunkedLength:
		return &chunkedBody{r: r, allowed: math.MaxInt64}
	case untilClose:
		return r
	}
	return &fixedBody{r: r, left: length}
}

// fixedBody reads a body of a declared length.
type fixedBody struct {
	r    *bufio.Reader
	left int64
}

// Read reads from the body.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if errors.Is(err, io.EOF) && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

const (
	// maxChunkLine bounds the line with a chunk's size and extensions.
	maxChunkLine = 4 << 10
	// maxTrailerBytes bounds the fields behind the last chunk.
	maxTrailerBytes = 16 << 10
	// maxSizeDigits bounds the digits of a chunk's size, which then fits an int64.
	maxSizeDigits = 15
	// maxExcessBytes bounds the bytes of lines beyond what chunks of their data need.
	maxExcessBytes = 16 << 10
	// usualLineBytes is the length of a line with a chunk's size.
	usualLineBytes = 16
)

// chunkedBody reads a body in chunks, and the fields behind it.
type chunkedBody struct {
	r       *bufio.Reader
	left    int64  // of the present chunk
	allowed int64  // bytes that may still be read, lines included
	excess  int64  // bytes of lines beyond what chunks of their data need
	begun   bool   // a chunk has been read, whose data ends with a line end
	trailer string // the fields behind the last chunk, each with its line end
	err     error
}

// Read reads from the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.allowed -= int64(n)
	switch {
	case err != nil:
		b.err = unexpected(err)
	case b.allowed < 0:
		b.err = ErrBodyTooLarge
	}
	return n, b.err
}

// unexpected returns io.ErrUnexpectedEOF for io.EOF, and other errors as they are.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the last one.
func (b *chunkedBody) nextChunk() error {
	if b.begun {
		end, err := b.line(len(lineEnd))
		if err != nil {
			return err
		}
		if end != "" {
			return malformed("chunk without a line end")
		}
	}
	b.begun = true
	line, err := b.line(maxChunkLine)
	if err != nil {
		return err
	}
	size, extensions := splitSize(line)
	digits := strings.TrimLeft(size, "0")
	if size == "" || len(digits) > maxSizeDigits || !validExtensions(extensions) {
		return malformed("size of chunk %.40q", line)
	}
	n, err := strconv.ParseInt("0"+digits, 16, 64)
	if err != nil {
		return malformed("size of chunk %.40q", line)
	}
	if n == 0 {
		return b.readTrailer()
	}
	// A sender may spend a line on each byte, and longer lines on few of them.
	b.excess = max(0, b.excess+int64(len(line))-usualLineBytes-2*n)
	if b.excess > maxExcessBytes {
		return malformed("chunks with too many bytes beside their data")
	}
	b.left = n
	return nil
}

// line reads a line of at most maxBytes and returns it without its line end.
func (b *chunkedBody) line(maxBytes int) (string, error) {
	var line []byte
	for {
		part, err := b.r.ReadSlice('\n')
		if len(line)+len(part) > maxBytes {
			return "", malformed("line of a chunked body is too long")
		}
		line = append(line, part...)
		b.allowed -= int64(len(part))
		if b.allowed < 0 {
			return "", ErrBodyTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", unexpected(err)
		}
		text, ok := strings.CutSuffix(string(line), lineEnd)
		if !ok {
			return "", malformed("line of a chunked body ends with a line feed alone")
		}
		return text, nil
	}
}

// readTrailer reads the fields behind the last chunk. It returns io.EOF at their end.
func (b *chunkedBody) readTrailer() error {
	for {
		line, err := b.line(maxTrailerBytes - len(b.trailer))
		if err != nil {
			return err
		}
		if line == "" {
			return io.EOF
		}
		line += lineEnd
		if _, err := parseFields(line); err != nil {
			return err
		}
		b.trailer += line
	}
}

// splitSize returns the leading hexadecimal digits of a line, and the rest.
func splitSize(line string) (size, rest string) {
	n := 0
	for n < len(line) && isHex(line[n]) {
		n++
	}
	return line[:n], line[n:]
}

const blanks = " \t"

// validExtensions reports whether the text consists of extensions of a chunk: names after
// semicolons, each with a value or without.
func validExtensions(text string) bool {
	for text != "" {
		var ok bool
		if text, ok = strings.CutPrefix(strings.TrimLeft(text, blanks), ";"); !ok {
			return false
		}
		if text, ok = cutToken(strings.TrimLeft(text, blanks)); !ok {
			return false
		}
		value, given := strings.CutPrefix(strings.TrimLeft(text, blanks), "=")
		if !given {
			continue
		}
		value = strings.TrimLeft(value, blanks)
		if strings.HasPrefix(value, `"`) {
			text, ok = cutQuoted(value[1:])
		} else {
			text, ok = cutToken(value)
		}
		if !ok {
			return false
		}
	}
	return true
}

// cutToken returns the text behind the token with which it begins.
func cutToken(text string) (string, bool) {
	n := 0
	for n < len(text) && httpguts.IsTokenRune(rune(text[n])) {
		n++
	}
	return text[n:], n > 0
}

// cutQuoted returns the text behind a quoted string whose first quote has been removed.
func cutQuoted(text string) (string, bool) {
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			return text[i+1:], true
		case c == '\\':
			i++
			if i == len(text) || !isText(text[i]) {
				return "", false
			}
		case !isText(c):
			return "", false
		}
	}
	return "", false
}

// isText reports whether a byte may stand in a quoted string.
func isText(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }
