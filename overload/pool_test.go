package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/overload"
)

// Guards against figures of a pool that isn't full, whose rate is that of its demand.
func TestFlow(t *testing.T) {
	is := is.New(t)
	var f overload.Flow
	o := overload.Origin{Queue: "q", Zone: "x", Priority: 2}
	waiting := map[overload.Origin]float64{o: 30}
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for n := range 10 {
		f.RecordStart(second(n), o, 8)
	}
	is.Equal(f.Pool(second(9), waiting), nil) // not full
	is.True(f.SetFull(second(9), true))
	is.True(!f.SetFull(second(10), true))
	is.Equal(f.Pool(second(12), waiting), nil) // not for the whole window
	for n := 10; n < 13; n++ {
		f.RecordStart(second(n), o, 4)
	}
	p := f.Pool(second(13)-time.Millisecond, waiting)
	is.Equal(p, nil)
	p = f.Pool(second(13), waiting)
	is.Equal(p, &overload.Pool{Lines: []overload.Line{{Origin: o, Waiting: 30, Rate: 3}}})
	is.Equal(f.Pool(second(60), nil).Rate(), 0.0) // after a long pause
	is.True(!f.SetFull(second(60)+1, true))
	is.True(!f.SetFull(second(60)+2, false)) // has free capacity for a moment only
	is.True(f.SetFull(second(61)+2, false))
	is.Equal(f.Pool(second(62), waiting), nil)
}

// Guards against a record that grows with the number of queues.
func TestPoolIsBounded(t *testing.T) {
	is := is.New(t)
	var f overload.Flow
	waiting := make(map[overload.Origin]float64)
	f.SetFull(0, true)
	for i := range 1000 {
		o := overload.Origin{Queue: fmt.Sprint("q", i), Priority: i % 3}
		waiting[o] = float64(1000 - i)
		f.RecordStart(9*time.Second, o, 4)
	}
	p := f.Pool(10*time.Second, waiting)
	is.True(len(p.Lines) <= 20)
	is.Equal(p.Lines[0].Queue, "q0")
	is.Equal(p.Waiting(), 500500.0)
	is.Equal(p.Rate(), 1000.0)
}
