package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/setup"
)

// TestFailedStartClosesSockets starts a daemon whose address for callers is taken. Its
// other sockets must be closed afterwards, so that the next attempt can open them.
func TestFailedStartClosesSockets(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peerAddr := free.Addr().String()
	is.NoErr(free.Close())
	s := &setup.Settings{
		Address: taken.Addr().String(),
		Peer:    peerAddr,
		Domain:  "d",
		Objects: "127.0.0.1:1",
		Machine: "127.0.0.1:1",
		Linger:  setup.Duration(time.Second),
	}
	d := New(s, SystemNet(), event.New(logrus.New()))
	is.True(d.Start(t.Context()) != nil)
	l, err := net.Listen("tcp", peerAddr)
	is.NoErr(err)
	defer l.Close()
	c, err := net.ListenPacket("udp", peerAddr)
	is.NoErr(err)
	defer c.Close()
}
