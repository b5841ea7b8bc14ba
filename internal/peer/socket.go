package peer

import (
	"net"
)

// A Socket reads datagrams for a beater.
type Socket struct {
	Conn   net.PacketConn
	Beater *Beater
}

// Run starts reading. It ends when Conn is closed.
func (s *Socket) Run() {
	go s.run()
}

func (s *Socket) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.Conn.ReadFrom(buf)
		if err != nil {
			return
		}
		data := make([]byte, n)
		copy(data, buf[:n])
		s.Beater.Receive(Packet{From: from.String(), Data: data})
	}
}

// Send sends one datagram; errors count as loss.
func (s *Socket) Send(address string, data []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	_, _ = s.Conn.WriteTo(data, to)
}
