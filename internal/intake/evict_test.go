package intake

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEvict checks which connection is evicted for a new one.
func TestEvict(t *testing.T) {
	now := time.Now()
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name  string
		conns []*conn
		want  int // index of the one that is evicted; -1 for none
	}{
		{name: "the oldest without a request", conns: []*conn{
			{since: before(time.Second)}, {since: before(2 * time.Second)}, {since: before(9 * time.Second), answered: true}}, want: 1},
		{name: "a slow body before an idle one", conns: []*conn{
			{since: before(9 * time.Second), answered: true}, {state: connBody, since: before(2 * time.Second)}}, want: 1},
		{name: "a slow head after an answer before an idle one", conns: []*conn{
			{since: before(9 * time.Second), answered: true}, {state: connHeader, since: before(2 * time.Second), answered: true}}, want: 1},
		{name: "the rest of a rejected body", conns: []*conn{
			{state: connBusy, since: before(time.Minute)}, {state: connRest, since: now}}, want: 1},
		{name: "the longest idle one", conns: []*conn{
			{since: before(time.Second), answered: true}, {since: before(2 * time.Second), answered: true}}, want: 1},
		{name: "none that is served or being read", conns: []*conn{
			{state: connBusy, since: before(time.Minute)}, {state: connBody, since: before(readPatience / 2)}, {state: connHeader, since: now}}, want: -1},
		{name: "none twice", conns: []*conn{
			{since: before(time.Second), expired: true}}, want: -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{maxConns: len(tt.conns) + 1, conns: make(map[*conn]struct{})}
			for _, c := range tt.conns {
				c.Conn, _ = net.Pipe()
				table.conns[c] = struct{}{}
			}
			is.True(table.add(&conn{state: connBusy, since: now})) // there is room for one
			is.Equal(table.add(&conn{since: now}), tt.want >= 0)
			for i, c := range tt.conns {
				if i == tt.want {
					is.True(c.expired)
				}
			}
			over := 0 // connections whose end has begun
			if tt.want >= 0 && tt.conns[tt.want].state != connRest {
				over = 1
			}
			is.Equal(table.Size(), table.maxConns+over)
		})
	}
}

// TestSetLimits checks the number of connections that follows from the process's limits.
func TestSetLimits(t *testing.T) {
	tests := []struct {
		name   string
		memory int64 // bytes
		files  int
		want   int
	}{
		{name: "no limits"},
		{name: "by descriptors", memory: 1 << 30, files: 4100, want: 2050},
		{name: "by memory", memory: 184 << 20, files: 4100, want: 981},
		{name: "descriptors only", files: 500, want: 250},
		{name: "memory only", memory: 184 << 20, want: 981},
		{name: "hardly any memory", memory: 1, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			table.SetLimits(tt.memory, tt.files)
			is.Equal(table.maxConns, tt.want)
			is.Equal(table.memory != nil, tt.memory > 0)
			whole := Table{ConnMemory: 4 * (connMemory + shortRequest)}
			whole.SetLimits(tt.memory, 0)
			is.Equal(whole.maxConns, max(int(tt.memory>>20)*16/3/4, min(int(tt.memory), 1)))
			is.Equal(whole.memory, nil)
		})
	}
}
