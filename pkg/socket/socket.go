// Package socket inspects and configures TCP connections below the level of package net.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Quiet reports whether the connection is open and no unread bytes have arrived on
// it. Connections other than sockets always count as quiet.
func Quiet(nc net.Conn) bool {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = recvErr == unix.EAGAIN
	})
	return err == nil && quiet
}

// UserTimeout returns a dialer's control function that sets TCP_USER_TIMEOUT, the time
// that sent bytes may stay unacknowledged.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return setOption(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// SendBuffer returns a listener's control function that sets how many bytes the kernel
// holds for each accepted connection until the peer has taken them.
func SendBuffer(size int) func(network, address string, raw syscall.RawConn) error {
	return setOption(unix.SOL_SOCKET, unix.SO_SNDBUF, size)
}

func setOption(level, option, value int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), level, option, value) })
		if err != nil {
			return err
		}
		return setErr
	}
}

// finWait2 is the state of a TCP connection whose close the peer has acknowledged, while its
// own side is open.
const finWait2 = 5

// CloseAcknowledged reports whether the peer's kernel has acknowledged the end of the bytes
// that this side sends, while the peer has not closed the connection.
func CloseAcknowledged(nc net.Conn) bool {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	acknowledged := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		acknowledged = infoErr == nil && info.State == finWait2
	})
	return err == nil && acknowledged
}
