package ring

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func ExampleRing() {
	r := New[int](2)
	for i := range 3 {
		r.Put(i)
	}
	fmt.Println(r.Take(), r.Dropped())
	// Output: [1 2] 1
}

// TestReady checks that Ready receives after a Put, and that only Take removes
// items.
func TestReady(t *testing.T) {
	is := is.New(t)
	var r = New[int](4)
	r.Put(1)
	<-r.Ready()
	is.Equal(r.Items(), []int{1}) // not removed
	is.Equal(r.Take(), []int{1})  // removed
	is.Equal(len(r.Take()), 0)
}
