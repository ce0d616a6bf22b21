package httphead_test

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
)

// heads are heads without their blank line.
var heads = []struct {
	name, text string
	sound      bool
}{
	{"usual", "HTTP/1.1 200 OK\r\nX-A: 1\r\n", true},
	{"no field", "HTTP/1.1 200 OK\r\n", true},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n", true},
	{"unknown code of a known class", "HTTP/1.1 299 X\r\n", true},
	{"highest code", "HTTP/1.1 599 X\r\n", true},
	{"informational", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n", true},
	{"unknown informational", "HTTP/1.1 199 X\r\n", true},
	{"empty reason phrase", "HTTP/1.1 200 \r\n", true},
	{"no reason phrase", "HTTP/1.1 200\r\n", true},
	{"reason phrase beyond ASCII", "HTTP/1.1 200 a\tb\xc3\xa9\xff\r\n", true},
	{"two blanks before the code", "HTTP/1.1  200 OK\r\n", true},

	{"code 000", "HTTP/1.1 000 X\r\n", false},
	{"code 001", "HTTP/1.1 001 X\r\n", false},
	{"code 099", "HTTP/1.1 099 X\r\n", false},
	{"code 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n", false},
	{"code 600", "HTTP/1.1 600 X\r\n", false},
	{"code 999", "HTTP/1.1 999 X\r\n", false},
	{"two digits", "HTTP/1.1 20 X\r\n", false},
	{"four digits", "HTTP/1.1 2000 X\r\n", false},
	{"a sign", "HTTP/1.1 +20 X\r\n", false},
	{"no digits", "HTTP/1.1 OK\r\n", false},
	{"no code", "HTTP/1.1\r\n", false},
	{"tab before the code", "HTTP/1.1\t200 OK\r\n", false},
	{"tab after the code", "HTTP/1.1 200\tOK\r\n", false},
	{"HTTP/0.9", "HTTP/0.9 200 OK\r\n", false},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\n", false},
	{"another protocol", "ICY/1.1 200 OK\r\n", false},
	{"protocol in lower case", "http/1.1 200 OK\r\n", false},
	{"version without a minor number", "HTTP/1 200 OK\r\n", false},
	{"blank before the version", " HTTP/1.1 200 OK\r\n", false},
	{"blank line before the status line", "\r\nHTTP/1.1 200 OK\r\n", false},
	{"bare line feed before the status line", "\nHTTP/1.1 200 OK\r\n", false},
	{"carriage return in the reason phrase", "HTTP/1.1 200 a\rb\r\n", false},
	{"zero byte in the reason phrase", "HTTP/1.1 200 a\x00b\r\n", false},
	{"no status line", "X-A: 1\r\n", false},
}

// Guards against MIXED: the parser behind the check takes many of these heads for sound.
func TestMalformedHeads(t *testing.T) {
	for _, test := range heads {
		t.Run(test.name, func(t *testing.T) {
			for name, source := range map[string]func(io.Reader) io.Reader{
				"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader, "with the end": iotest.DataErrReader,
			} {
				text := test.text + "\r\n"
				r := bufio.NewReader(source(strings.NewReader(text + "body")))
				err := httphead.Peek(r)
				if !test.sound {
					require.ErrorIs(t, err, httphead.ErrMalformed, name)
					continue
				}
				require.NoError(t, err, name)
				rest, err := io.ReadAll(r)
				require.NoError(t, err, name)
				require.Equal(t, text+"body", string(rest), "the head stays in the buffer")
			}
		})
	}
}

func TestIncompleteHeads(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n"
	for cut := range text {
		err := httphead.Peek(bufio.NewReader(strings.NewReader(text[:cut])))
		require.Equal(t, cut == 0, errors.Is(err, io.EOF), "%q: %v", text[:cut], err)
		require.Equal(t, cut > 0, errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", text[:cut], err)
	}
	err := httphead.Peek(bufio.NewReaderSize(strings.NewReader(text), 16))
	require.ErrorIs(t, err, bufio.ErrBufferFull)
}

// The error quotes the line, and not more of it than a row of the log needs.
func TestErrorQuotesTheLine(t *testing.T) {
	err := httphead.Peek(bufio.NewReader(strings.NewReader("HTTP/1.1 000 \x01\n" + strings.Repeat("x", 4000))))
	require.ErrorContains(t, err, `status code in line "HTTP/1.1 000 \x01\n"`)
	err = httphead.Peek(bufio.NewReader(strings.NewReader("HTTP/1.1 000 " + strings.Repeat("x", 4000) + "\r\n")))
	require.ErrorIs(t, err, httphead.ErrMalformed)
	require.Less(t, len(err.Error()), 200)
}
