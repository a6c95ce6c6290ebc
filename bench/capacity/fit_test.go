package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFit(t *testing.T) {
	const close = 1e-9
	for _, c := range []struct {
		name   string
		xs, ys []float64
		want   line
	}{
		{"exact", []float64{0, 1, 2, 4}, []float64{3, 5, 7, 11}, line{3, 2, 1}},
		{"flat", []float64{1, 2, 3, 4}, []float64{5, 5, 5, 5}, line{5, 0, 1}},
		{"scattered", []float64{0, 1, 2, 3}, []float64{1, 0, 3, 2}, line{0.6, 0.6, 0.36}},
		{"one size", []float64{2, 2}, []float64{1, 3}, line{2, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := fit(c.xs, c.ys)
			is.True(math.Abs(got.base-c.want.base) < close)
			is.True(math.Abs(got.slope-c.want.slope) < close)
			is.True(math.Abs(got.rSquared-c.want.rSquared) < close)
		})
	}
}
