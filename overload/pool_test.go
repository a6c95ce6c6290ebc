package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/overload"
)

// Guards against figures of a time in which the pool wasn't full or its owner started
// nothing, whose rate isn't that of the capacity.
func TestFlow(t *testing.T) {
	const pass = 500 * time.Millisecond
	o := overload.Origin{Queue: "q", Zone: "x", Priority: 2}
	urgent := overload.Origin{Queue: "u", Priority: 0}
	lacks := func(priorities ...int) map[int]bool {
		m := make(map[int]bool)
		for _, p := range priorities {
			m[p] = true
		}
		return m
	}
	type event struct {
		until time.Duration // passes every 500 ms until then
		lacks map[int]bool
		full  bool
		lines []overload.Line // of Pool at the end
	}
	tests := []struct {
		name   string
		events []event
	}{
		{"not full", []event{{10 * time.Second, nil, false, nil}}},
		{"constrained work lacks capacity", []event{
			{10 * time.Second, map[int]bool{2: false}, true, nil},
			{11 * time.Second, lacks(2), true, nil}, // for less than the window
			{15 * time.Second, lacks(2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}}}},
		{"full for less than the window", []event{{10 * time.Second, nil, false, nil}, {13500 * time.Millisecond, lacks(2), true, nil}}},
		{"full", []event{{10 * time.Second, nil, false, nil}, {15 * time.Second, lacks(2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}}}},
		{"urgent work lacks capacity since a moment", []event{
			{5 * time.Second, lacks(2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}},
			{6 * time.Second, lacks(0, 2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}}}},
		{"free capacity for a moment", []event{
			{5 * time.Second, lacks(2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}},
			{5500 * time.Millisecond, nil, true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}}}},
		{"free capacity", []event{{5 * time.Second, lacks(2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}}, {7 * time.Second, nil, false, nil}}},
		{"no passes for a while", []event{
			{5 * time.Second, lacks(2), true, []overload.Line{{Origin: o, Waiting: 30, Rate: 8}}},
			{0, nil, true, nil}, // 3 s without a pass
			{10 * time.Second, lacks(2), true, nil}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f overload.Flow
			now := time.Duration(0)
			for _, e := range tt.events {
				if e.until == 0 {
					now += 3 * time.Second
				}
				for ; now < e.until; now += pass {
					f.RecordStart(now, o, 4)
					f.SetFull(now, e.lacks)
				}
				is.Equal(f.Full(), e.full)
				p := f.Pool(now, map[overload.Origin]float64{o: 30, urgent: 5})
				if e.lines == nil {
					is.Equal(p, nil)
				} else {
					is.Equal(p, &overload.Pool{Lines: e.lines})
				}
			}
		})
	}
}

// Guards against a record that grows with the number of queues.
func TestPoolIsBounded(t *testing.T) {
	is := is.New(t)
	var f overload.Flow
	waiting := make(map[overload.Origin]float64)
	for i := range 1000 {
		o := overload.Origin{Queue: fmt.Sprint("q", i), Priority: i % 3}
		waiting[o] = float64(1000 - i)
		f.RecordStart(9*time.Second, o, 3.5)
	}
	p := f.Measure(10*time.Second, waiting)
	is.True(len(p.Lines) <= 20)
	is.Equal(p.Lines[0].Queue, "q0")
	is.Equal(p.Waiting(), 500500.0)
	is.Equal(p.Rate(), 1000.0)
}
