package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/socket"
)

func pair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

func TestQuiet(t *testing.T) {
	near, far := pair(t)
	require.True(t, socket.Quiet(near))
	_, err := io.WriteString(far, "ab")
	require.NoError(t, err)
	_, err = io.ReadFull(near, make([]byte, 1)) // the second byte has arrived too
	require.NoError(t, err)
	require.False(t, socket.Quiet(near), "an unread byte")
	_, err = io.ReadFull(near, make([]byte, 1))
	require.NoError(t, err)
	require.True(t, socket.Quiet(near))
	require.NoError(t, far.Close())
	_, err = near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.False(t, socket.Quiet(near), "closed by the peer")
	pipe, _ := net.Pipe()
	require.True(t, socket.Quiet(pipe))
}

func TestHalfClosed(t *testing.T) {
	near, far := pair(t)
	require.False(t, socket.HalfClosed(near), "open")
	require.NoError(t, far.(*net.TCPConn).CloseWrite())
	_, err := near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(near, "a")
	require.NoError(t, err)
	_, err = io.ReadFull(far, make([]byte, 1))
	require.NoError(t, err)
	require.True(t, socket.HalfClosed(near), "the peer still reads")
	require.NoError(t, far.Close())
	_, err = io.WriteString(near, "b")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !socket.HalfClosed(near) }, 10*time.Second, time.Millisecond, "the peer's kernel resets the connection")
}
