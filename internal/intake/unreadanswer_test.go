package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/route"
)

// A tableLoop runs the loop of a Table.
type tableLoop struct {
	table *Table
}

func (l *tableLoop) run(ctx context.Context) {
	l.table.Run(ctx)
}

// A slowCaller reads one byte after a pause.
type slowCaller struct {
	conn  net.Conn
	pause time.Duration
}

func (c *slowCaller) run() {
	time.Sleep(c.pause)
	_, _ = io.ReadFull(c.conn, make([]byte, 1)) // the connection may be closed
}

// TestCallerDoesNotRead guards against a caller that never reads its answer: it keeps its
// connection, and the answer, for good.
func TestCallerDoesNotRead(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		want  error
	}{
		{name: "in time", pause: writeTimeout - time.Second},
		{name: "late", pause: writeTimeout + time.Second, want: os.ErrDeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				in, out := net.Pipe()
				table := &Table{Limits: func() route.Limits { return route.Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Hour} }}
				c := &conn{Conn: in, table: table, state: connBusy, since: time.Now()}
				is.True(table.add(c))
				ctx, cancel := context.WithCancel(t.Context())
				go (&tableLoop{table}).run(ctx)
				go (&slowCaller{conn: out, pause: tt.pause}).run()
				_, err := c.Write([]byte("x"))
				is.True(errors.Is(err, tt.want))
				is.NoErr(in.Close())
				cancel()
				time.Sleep(2 * writeTimeout) // until the caller has ended
			})
		})
	}
}
