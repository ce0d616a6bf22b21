package httphead

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Read checks the next head and then parses it into h.
func Read(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	if err := Peek(r); err != nil {
		return errors.Trace(err)
	}
	if err := h.Read(r); err != nil {
		// The whole head has arrived, so the parser has found a fault in it.
		return errors.WithType(errors.Annotate(err, string(ErrMalformed)), ErrMalformed)
	}
	return nil
}

// Peek waits for a whole head and checks it. The head stays in the reader's buffer, which
// has to be large enough for it. Peek returns io.EOF only if there are no bytes at all.
func Peek(r *bufio.Reader) error {
	var c Checker
	checked := 0 // length of the lines that were checked
	for n := 1; ; n = r.Buffered() + 1 {
		_, readErr := r.Peek(n)
		buffered, _ := r.Peek(r.Buffered())
		for {
			length := bytes.IndexByte(buffered[checked:], '\n') + 1
			if length == 0 {
				break
			}
			end, err := c.Line(buffered[checked : checked+length])
			if end || err != nil {
				return err
			}
			checked += length
		}
		if readErr == nil {
			continue
		}
		if len(buffered) == 0 {
			return errors.Trace(readErr)
		}
		if readErr == io.EOF {
			readErr = io.ErrUnexpectedEOF
		}
		return errors.Annotatef(readErr, "response head incomplete after %d bytes", len(buffered))
	}
}
