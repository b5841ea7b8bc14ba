package client

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestInvalidStatus guards against a response that is none, as its status is not valid, and is
// passed on as an answer. The body and the rest of the head don't show it.
func TestInvalidStatus(t *testing.T) {
	tests := []struct {
		status string
		valid  bool
	}{
		{status: "000"}, {status: "001"}, {status: "020"}, {status: "099"}, {status: "+20"}, {status: "600"}, {status: "999"},
		{status: "200", valid: true}, {status: "404", valid: true}, {status: "599", valid: true},
	}
	for _, tt := range tests {
		t.Run(tt.status, func(t *testing.T) {
			is := is.New(t)
			p := newPool(t, &scriptedUpstream{responses: []string{strings.Replace(okResponse("1", "body"), "200", tt.status, 1)}})
			re := send(t, p, getRequest("1"))
			is.Equal(re.Result == Succeeded, tt.valid) // the codec of the pool takes any status
			is.Equal(re.Result == Unknown, !tt.valid)
			is.Equal(p.open == 1, tt.valid)
			var invalid *StatusError
			is.Equal(errors.As(re.Err, &invalid), !tt.valid)
		})
	}
}
