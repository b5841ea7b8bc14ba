package peer

import (
	"net"
)

// A Socket passes the datagrams that Conn receives to Detector, and sends
// datagrams over Conn.
type Socket struct {
	Conn     net.PacketConn
	Detector *Detector
}

// Start starts a goroutine that reads until Conn is closed.
func (s *Socket) Start() {
	go s.run()
}

// run passes the datagrams that Conn receives to Detector until a read fails, as it
// does once Conn is closed.
func (s *Socket) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.Conn.ReadFrom(buf)
		if err != nil {
			return
		}
		data := make([]byte, n)
		copy(data, buf[:n])
		s.Detector.Receive(Packet{From: from.String(), Data: data})
	}
}

// Send sends one datagram. Errors are ignored, as if the datagram were lost.
func (s *Socket) Send(address string, data []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	_, _ = s.Conn.WriteTo(data, to)
}
