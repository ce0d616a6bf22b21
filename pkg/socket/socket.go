// Package socket inspects TCP connections below the level of package net.
package socket

import (
	"net"
	"syscall"

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
