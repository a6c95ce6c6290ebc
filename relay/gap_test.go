package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNextGap(t *testing.T) {
	tests := []struct {
		name string
		last time.Duration
		rate float64
		want time.Duration
	}{
		{"as many as are wanted", 4 * time.Millisecond, 1000, 4 * time.Millisecond},
		{"half as many again", 4 * time.Millisecond, 1500, 6 * time.Millisecond},
		{"twice as many", 4 * time.Millisecond, 2000, 8 * time.Millisecond},
		{"never above the longest", 8 * time.Millisecond, 9000, 10 * time.Millisecond},
		{"fewer", 8 * time.Millisecond, 750, 6 * time.Millisecond},
		{"none", 8 * time.Millisecond, 0, 4 * time.Millisecond},
		{"never below the shortest", time.Millisecond, 0, time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(nextGap(test.last, test.rate, 1000), test.want)
		})
	}
}

// Guards against messages delayed by a long gap although the owner's processors are idle.
func TestGapFollowsLoad(t *testing.T) {
	tests := []struct {
		name       string
		processors float64
		links      int
		events     float64 // ends and starts per second
		least      time.Duration
		most       time.Duration
	}{
		{"large owner, 490 workers", 0.8, 8, 1500, minGap, 2 * time.Millisecond},
		{"large owner, 3000 workers, burst", 0.8, 47, 12000, maxGap, maxGap},
		{"small owner, 198 workers", 0.12, 5, 1200, maxGap, maxGap},
		{"small owner, calm", 0.12, 5, 200, minGap, 2 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGap(test.processors)
			now := time.Unix(0, 0)
			messages := 0.0
			for range 50 {
				now = now.Add(gapInterval)
				messages += messageRate(g.current(), 2*test.links, test.events) * gapInterval.Seconds()
				g.adjust(now, int64(messages))
			}
			is.True(g.current() >= test.least)
			is.True(g.current() <= test.most)
		})
	}
}

// messageRate returns the messages per second if all events within a gap share one.
func messageRate(gap time.Duration, directions int, events float64) float64 {
	perDirection := events / float64(directions)
	return float64(directions) * perDirection / (1 + perDirection*gap.Seconds())
}
