// Package httphead checks the heads and trailers of HTTP/1.x responses. The parser that reads
// them afterwards, fasthttp, accepts heads that RFC 9112 doesn't allow, and does not show them as
// they came.
package httphead

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is in the chain of the error for a head or trailer that RFC 9112 does not allow.
// The request may have been served.
const ErrMalformed = errors.ConstError("malformed response head")

// maxQuotedBytes bounds how much of a malformed line an error quotes.
const maxQuotedBytes = 64

const (
	statusSwitchingProtocols = 101
	minFinalStatus           = 200
)

var (
	crlf             = []byte("\r\n")
	http11           = []byte("HTTP/1.1")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// Checker checks the lines of one head in order. The zero value is ready for the first line.
type Checker struct {
	status    int  // 0 before the status line
	hasFields bool // a field line came
	noCoding  bool // the parser knows no transfer codings in this version
	hasCoding bool
	hasLength bool
}

// Trailer returns a checker of the lines that follow the last chunk of a body.
func Trailer() Checker { return Checker{status: minFinalStatus} }

// Line checks the next line, which includes its line feed, and reports whether it is the empty
// line at the end. It leaves the values of fields to the parser.
func (c *Checker) Line(line []byte) (end bool, err error) {
	text, found := bytes.CutSuffix(line, crlf)
	switch {
	case !found:
		return false, malformed("line feed without a carriage return", line)
	case c.status == 0:
		return false, c.checkStatusLine(text)
	case len(text) == 0:
		return true, nil
	case isFold(text) && c.hasFields:
		return false, nil
	}
	c.hasFields = true
	return false, c.checkField(text)
}

// isFold reports whether a line continues the value of the field before it (RFC 9112,
// section 5.2).
func isFold(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// checkField checks the name of a field, and that the framing does not contradict itself.
func (c *Checker) checkField(line []byte) error {
	length, err := nameLength(line)
	if err != nil {
		return err
	}
	switch name := line[:length]; {
	case isName(name, transferEncoding):
		c.hasCoding = true
	case isName(name, contentLength):
		c.hasLength = true
	default:
		return nil
	}
	if c.hasCoding && c.noCoding {
		return malformed("transfer coding in a version other than HTTP/1.1", line)
	}
	if c.hasCoding && c.hasLength {
		return malformed("both a transfer coding and a length", line)
	}
	return nil
}

// nameLength returns the length of the name that begins a line and ends with a colon. Names
// are tokens. Whitespace before the colon is no part of one, but a parser that drops it reads
// another field.
func nameLength(line []byte) (int, error) {
	for i, b := range line {
		switch {
		case b == ':' && i > 0:
			return i, nil
		case !httpguts.IsTokenRune(rune(b)):
			return 0, malformed("name of a field", line)
		}
	}
	return 0, malformed("field without a colon", line)
}

func isName(name, other []byte) bool {
	return len(name) == len(other) && bytes.EqualFold(name, other)
}

// isInformational reports whether the head is one of those that precede the head of the
// response itself.
func (c *Checker) isInformational() bool { return c.status < minFinalStatus }

// checkStatusLine checks the version and the status code. As in other recipients, the code may
// follow several spaces, and end the line.
func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if !isVersion1(version) {
		return malformed("HTTP version", line)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	status, ok := parseStatus(code)
	if !ok {
		return malformed("status code", line)
	}
	if status == statusSwitchingProtocols {
		return malformed("switch of protocols that was not asked for", line)
	}
	if bytes.ContainsFunc(reason, isControl) {
		return malformed("control byte in the reason phrase", line)
	}
	c.status, c.noCoding = status, !bytes.Equal(version, http11)
	return nil
}

// isControl reports whether a byte is no part of a phrase, which may hold tabs and bytes
// beyond ASCII.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isVersion1(version []byte) bool {
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	return found && len(minor) == 1 && isDigit(minor[0])
}

// parseStatus parses a status code of one of the five classes.
func parseStatus(code []byte) (int, bool) {
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, false
	}
	return int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'), true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// malformed returns the error for a line with the given fault.
func malformed(fault string, line []byte) error {
	return errors.Annotatef(ErrMalformed, "%s in line %s", fault, strconv.QuoteToASCII(string(line[:min(len(line), maxQuotedBytes)])))
}
