package interference

// filter is a Kalman filter over a variable list of coefficients, with their
// full covariance.
//
// Tasks seldom run alone, so often only the sum of a baseline and its pairs is
// observable. The covariance records that the sum is known while its parts are
// uncertain. With variances alone the parts would seem certain, and small errors would
// add up to a drift of the baseline, so that tasks are throttled while no service is
// slow, or the reverse.
type filter struct {
	mean       []float64
	covariance [][]float64
}

// term is one coefficient's factor in a measurement.
type term struct {
	index  int
	factor float64
}

// add appends a coefficient and returns its index.
func (f *filter) add(mean, variance float64) int {
	n := len(f.mean)
	f.mean = append(f.mean, mean)
	for i := range f.covariance {
		f.covariance[i] = append(f.covariance[i], 0)
	}
	f.covariance = append(f.covariance, make([]float64, n+1))
	f.covariance[n][n] = variance
	return n
}

// addCorrelated appends a coefficient that differs from a known one by a deviation
// of the given variance, and returns its index.
func (f *filter) addCorrelated(from int, variance float64) int {
	n := f.add(f.mean[from], f.covariance[from][from]+variance)
	for i := range n {
		f.covariance[n][i] = f.covariance[from][i]
		f.covariance[i][n] = f.covariance[i][from]
	}
	return n
}

// remove removes a coefficient; the last one takes its index.
func (f *filter) remove(i int) {
	last := len(f.mean) - 1
	f.mean[i] = f.mean[last]
	f.mean = f.mean[:last]
	f.covariance[i] = f.covariance[last]
	f.covariance = f.covariance[:last]
	for j, row := range f.covariance {
		row[i] = row[last]
		f.covariance[j] = row[:last]
	}
}

// inflate adds variance to a coefficient up to a limit.
func (f *filter) inflate(i int, variance, limit float64) {
	v := &f.covariance[i][i]
	if *v < limit {
		*v = min(*v+variance, limit)
	}
}

// predict returns the expected measurement, its variance, and the covariance
// of each coefficient with it.
func (f *filter) predict(terms []term) (mean, variance float64, gains []float64) {
	gains = make([]float64, len(f.mean))
	for _, t := range terms {
		mean += t.factor * f.mean[t.index]
		for i, c := range f.covariance[t.index] {
			gains[i] += t.factor * c
		}
	}
	for _, t := range terms {
		variance += t.factor * gains[t.index]
	}
	return mean, variance, gains
}

// correct updates the coefficients by an innovation of the given variance.
func (f *filter) correct(gains []float64, innovation, spread float64) {
	for i, g := range gains {
		f.mean[i] += g * innovation / spread
		row := f.covariance[i]
		for j, h := range gains {
			row[j] -= g * h / spread
		}
		row[i] = max(row[i], minDeviation*minDeviation)
	}
}
