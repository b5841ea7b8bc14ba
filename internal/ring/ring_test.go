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
	fmt.Println(r.Take(), r.Lost())
	// Output: [1 2] 1
}

func TestRingTellsOfEachPut(t *testing.T) {
	is := is.New(t)
	var r = New[int](4)
	r.Put(1)
	<-r.Ready()
	is.Equal(r.Items(), []int{1}) // kept
	is.Equal(r.Take(), []int{1})  // taken
	is.Equal(len(r.Take()), 0)
}
