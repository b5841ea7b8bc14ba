package intake

import (
	"net"
	"syscall"
)

// unreadBytes is the size of the kernel's receive buffer of a caller's connection. The kernel
// doubles it, to allow for its own needs. What has been received and not yet read counts as
// memory of the process on some platforms; with buffers that grow as usual, callers who send
// while they wait for an answer would fill it.
const unreadBytes = 32 << 10

// limitUnread sets the receive buffer of connections that a listener will accept. Listeners
// other than those of TCP are left as they are.
func limitUnread(l net.Listener) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBytes)
	})
	if err != nil {
		return err
	}
	return optErr
}
