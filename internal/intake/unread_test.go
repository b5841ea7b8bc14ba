package intake

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestLimitUnread guards against callers that fill the memory with what they send while they
// wait for an answer: the kernel's buffers must not grow.
func TestLimitUnread(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	is.NoErr(limitUnread(l))
	out, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer out.Close()
	in, err := l.Accept()
	is.NoErr(err)
	defer in.Close()
	raw, err := in.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	size, optErr := 0, error(nil)
	is.NoErr(raw.Control(func(fd uintptr) {
		size, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}))
	is.NoErr(optErr)
	is.Equal(size, 2*unreadBytes)
}
