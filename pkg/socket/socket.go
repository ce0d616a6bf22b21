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

// States of a TCP connection (include/net/tcp_states.h).
const (
	finWait2  = 5 // this side is closed and the peer has acknowledged that; the peer's is open
	closeWait = 8 // the peer's side is closed, this one is open
)

// CloseAcknowledged reports whether the peer's kernel has acknowledged the end of the bytes
// that this side sends, while the peer has not closed the connection.
func CloseAcknowledged(nc net.Conn) bool {
	conn, ok := nc.(syscall.Conn)
	return ok && isInState(conn, finWait2)
}

// HalfClosed reports whether the peer has closed its side of the connection and has not
// answered bytes with a reset, as its kernel does once the peer has closed all of it.
// Connections other than sockets never count as half closed.
func HalfClosed(nc net.Conn) bool {
	conn, ok := nc.(syscall.Conn)
	return ok && isInState(conn, closeWait)
}

func isInState(conn syscall.Conn, state uint8) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	matches := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		matches = infoErr == nil && info.State == state
	})
	return err == nil && matches
}
