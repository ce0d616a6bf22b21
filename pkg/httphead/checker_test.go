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

// heads are heads without their empty line.
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
	{"two spaces before the code", "HTTP/1.1  200 OK\r\n", true},
	{"empty value", "HTTP/1.1 200 OK\r\nX-A:\r\n", true},
	{"whitespace around a value", "HTTP/1.1 200 OK\r\nX-A: \t a b \t \r\n", true},
	{"no space before a value", "HTTP/1.1 200 OK\r\nX-A:a\r\n", true},
	{"colons in a value", "HTTP/1.1 200 OK\r\nX-A: a:b: c\r\n", true},
	{"value beyond ASCII", "HTTP/1.1 200 OK\r\nX-A: \xc3\xa9\xff\r\n", true},
	{"folded value", "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\n\tc\r\n", true},
	{"value in the second line", "HTTP/1.1 200 OK\r\nX-A:\r\n b\r\n", true},
	{"folded value that ends with a line of whitespace", "HTTP/1.1 200 OK\r\nX-A: a\r\n \r\n", true},
	{"unusual token", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: 1\r\n", true},
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", true},
	{"length in HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n", true},
	{"length in an informational head", "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n", true},
	{"transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", true},
	{"transfer coding in a value", "HTTP/1.0 200 OK\r\nTE: Transfer-Encoding\r\n", true},

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
	{"space before the version", " HTTP/1.1 200 OK\r\n", false},
	{"empty line before the status line", "\r\nHTTP/1.1 200 OK\r\n", false},
	{"bare line feed before the status line", "\nHTTP/1.1 200 OK\r\n", false},
	{"carriage return in the reason phrase", "HTTP/1.1 200 a\rb\r\n", false},
	{"zero byte in the reason phrase", "HTTP/1.1 200 a\x00b\r\n", false},
	{"no status line", "X-A: 1\r\n", false},

	{"space in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n", false},
	{"space before the colon", "HTTP/1.1 200 OK\r\nX-A : 1\r\n", false},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nX-A\t: 1\r\n", false},
	{"tab in a name", "HTTP/1.1 200 OK\r\nX\tA: 1\r\n", false},
	{"space in a name of a folded field", "HTTP/1.1 200 OK\r\nX A: 1\r\n b\r\n", false},
	{"space in a name after a folded field", "HTTP/1.1 200 OK\r\nX-B: 1\r\n b\r\nX A: 1\r\n", false},
	{"space in the name of the last field", "HTTP/1.1 200 OK\r\nX-B: 1\r\nX-C: 2\r\nX A: 1\r\n", false},
	{"space in a name of an informational head", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n", false},
	{"zero byte in a name", "HTTP/1.1 200 OK\r\nX\x00A: 1\r\n", false},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n", false},
	{"control byte before a name", "HTTP/1.1 200 OK\r\n\x0bX-A: 1\r\n", false},
	{"control byte in a name of a folded field", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n b\r\n", false},
	{"delete in a name", "HTTP/1.1 200 OK\r\nX\x7fA: 1\r\n", false},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\nX\rA: 1\r\n", false},
	{"line feed in a name", "HTTP/1.1 200 OK\r\nX\nA: 1\r\n", false},
	{"line feed before a name", "HTTP/1.1 200 OK\r\nX-B: 1\r\n\nX-A: 1\r\n", false},
	{"name beyond ASCII", "HTTP/1.1 200 OK\r\nX\xc3\xa9: 1\r\n", false},
	{"separator in a name", "HTTP/1.1 200 OK\r\nX(A): 1\r\n", false},
	{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n", false},
	{"no colon", "HTTP/1.1 200 OK\r\nX-A\r\n", false},
	{"second status line", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n", false},
	{"fold before the first field", "HTTP/1.1 200 OK\r\n X-A: 1\r\n", false},
	{"bare line feed after a field", "HTTP/1.1 200 OK\r\nX-A: 1\nX-B: 1\r\n", false},
	{"bare line feed before a fold", "HTTP/1.1 200 OK\r\nX-A: 1\n b\r\n", false},
	{"bare line feed after the status line", "HTTP/1.1 200 OK\nX-A: 1\r\n", false},
	{"transfer coding in HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n", false},
	{"transfer coding in HTTP/1.2", "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n", false},
	{"transfer coding before a length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n", false},
	{"transfer coding after a length", "HTTP/1.1 200 OK\r\nCONTENT-LENGTH: 2\r\nTRANSFER-ENCODING: chunked\r\n", false},
	{"bare line feed at the end", "HTTP/1.1 200 OK\r\nX-A: 1\r\n\n", false},
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

func TestTrailers(t *testing.T) {
	for _, test := range []struct {
		line  string
		sound bool
	}{
		{"X-T: 1\r\n", true}, {"X-T:\r\n", true}, {"X T: 1\r\n", false}, {"X-T : 1\r\n", false}, {"X\x01T: 1\r\n", false}, {" X-T: 1\r\n", false}, {"X-T: 1\n", false}, {"\n", false},
		{"Content-Length: 2\r\n", true},
	} {
		trailer := httphead.Trailer()
		end, err := trailer.Line([]byte(test.line))
		require.Equal(t, test.sound, err == nil, "%q: %v", test.line, err)
		require.False(t, end)
		if test.sound {
			end, err = trailer.Line([]byte("\r\n"))
			require.NoError(t, err)
			require.True(t, end)
		}
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
	err := httphead.Peek(bufio.NewReader(strings.NewReader("HTTP/1.1 000 \x01\r\n" + strings.Repeat("x", 4000))))
	require.ErrorContains(t, err, `status code in line "HTTP/1.1 000 \x01"`)
	err = httphead.Peek(bufio.NewReader(strings.NewReader("HTTP/1.1 000 " + strings.Repeat("x", 4000) + "\r\n")))
	require.ErrorIs(t, err, httphead.ErrMalformed)
	require.Less(t, len(err.Error()), 200)
}
