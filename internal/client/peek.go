package client

import (
	"net"
	"syscall"
)

// healthy reports whether an idle connection is open and has no unread bytes. A
// connection that was closed or reset, or on which unexpected bytes have arrived,
// can't be reused. Connections without a file descriptor count as healthy.
func healthy(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return err == nil && open
}
