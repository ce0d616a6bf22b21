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
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
