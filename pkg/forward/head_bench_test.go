package forward

import (
	"bufio"
	"strings"
	"testing"
)

// BenchmarkReadHead reads the head of an engine's answer. The last one arrives in two parts.
func BenchmarkReadHead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n" +
		"X-Server-Stamp: 5f0c2a9e7b1d48c3a6e4f2d19b87c05e\r\nX-Instance-Id: i-4cdfeb7358\r\nX-Instance-Load: 31,2,104\r\n" +
		"X-Weight-Versions: 7\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name  string
		parts []string
	}{
		{"whole", []string{text}},
		{"after-103", []string{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + text}},
		{"in-two-parts", []string{text[:150], text[150:]}},
	} {
		b.Run(test.name, func(b *testing.B) {
			source := &partReader{parts: test.parts}
			c := &Conn{r: bufio.NewReaderSize(source, readBufferBytes)}
			res := &Response{c: c, method: "POST"}
			res.Header.DisableNormalizing()
			res.Header.SetNoDefaultContentType(true)
			b.ReportAllocs()
			for b.Loop() {
				source.next = 0
				if err := res.readHead(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// partReader returns one part of a text with each read.
type partReader struct {
	parts []string
	next  int
}

// Read reads the next part.
func (p *partReader) Read(b []byte) (int, error) {
	p.next++
	return strings.NewReader(p.parts[p.next-1]).Read(b)
}
