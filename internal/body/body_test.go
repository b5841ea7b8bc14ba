package body

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestRead(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name  string
		text  string
		limit int64
		long  bool
	}{
		{name: "empty", limit: 4},
		{name: "at the limit", text: "abcd", limit: 4},
		{name: "above the limit", text: "abcde", limit: 4, long: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := Read(strings.NewReader(tt.text), tt.limit)
			var long *TooLongError
			is.Equal(errors.As(err, &long), tt.long)
			is.True(tt.long || string(b) == tt.text)
		})
	}
	_, err := Read(iotest.ErrReader(broken), 4)
	is.New(t).Equal(err, broken)
}
