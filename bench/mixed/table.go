package mixed

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/mitigation"
	"github.com/dogwoodladder/dogwoodladder/placement"
)

// section is one group of tables.
type section struct {
	name  string
	print func(b *Bench, w io.Writer) error
}

var sections = []section{
	{"policies", (*Bench).policies},
	{"thresholds", (*Bench).thresholds},
	{"parts", (*Bench).parts},
	{"objectives", (*Bench).objectives},
	{"lag", (*Bench).lags},
	{"noise", (*Bench).noises},
	{"sizes", (*Bench).wrongSizes},
	{"waves", (*Bench).waves},
	{"silence", (*Bench).silence},
}

var allPolicies = []string{nameNoColocation, nameBestFit, nameRandom, nameThrottle, nameEvict, namePolicy, nameOracle}

// row is one line of a table: a scenario under a policy, for all seeds.
type row struct {
	label    string
	policy   string
	scenario Scenario
	bench    *Bench
	results  []Result
}

func (b *Bench) policies(w io.Writer) error {
	for _, size := range []Size{Mizani(), Bureau()} {
		var rows []*row
		for _, name := range allPolicies {
			rows = append(rows, b.row(name, name, normal(size, 0)))
		}
		if err := b.table(w, size.Name+": policies", rows); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bench) thresholds(w io.Writer) error {
	var rows []*row
	for _, limit := range []float64{1.1, 1.15, 1.25, 1.5} {
		other := *b
		other.threshold = limit
		rows = append(rows, other.row(fmt.Sprintf("eviction above %.2f", limit), nameEvict, normal(Mizani(), 0)))
	}
	rows = append(rows, b.row(namePolicy, namePolicy, normal(Mizani(), 0)))
	return b.table(w, "Mizani: threshold eviction by its limit", rows)
}

// parts compares the policy with variants that lack one of its parts.
func (b *Bench) parts(w io.Writer) error {
	return b.compareTunings(w, "Mizani: parts of the policy", Mizani(), []labelledTuning{
		{namePolicy, Tuning{}},
		{"no throttling, evictions without budget", Tuning{Ladder: []mitigation.Option{
			mitigation.WithFloors(100, 100), mitigation.WithBudget(math.MaxInt, math.MaxInt, time.Minute)}}},
		{"placement alone", Tuning{Ladder: []mitigation.Option{mitigation.WithLimits(math.MaxFloat64, 1)}}},
		{"protection alone", Tuning{Planner: []placement.Option{
			placement.WithTailLimit(math.MaxFloat64), placement.WithTailWeight(0)}}},
	})
}

func (b *Bench) objectives(w io.Writer) error {
	return b.compareTunings(w, "Bureau: objectives", Bureau(), []labelledTuning{
		{"defaults", Tuning{}},
		{"tail weight 20", Tuning{Ladder: []mitigation.Option{mitigation.WithTailWeight(20)}}},
		{"eviction cost 15 min", Tuning{Ladder: []mitigation.Option{mitigation.WithEvictionCost(15 * time.Minute)}}},
		{"tail limit 1.04", Tuning{Planner: []placement.Option{placement.WithTailLimit(1.04)}}},
	})
}

// labelledTuning is a variant of the policy with other options.
type labelledTuning struct {
	label  string
	tuning Tuning
}

func (b *Bench) compareTunings(w io.Writer, title string, size Size, tunings []labelledTuning) error {
	var rows []*row
	for _, t := range tunings {
		other := *b
		other.tuning = t.tuning
		rows = append(rows, other.row(t.label, namePolicy, normal(size, 0)))
	}
	return b.table(w, title, rows)
}

func (b *Bench) lags(w io.Writer) error {
	return b.sweep(w, "Mizani: lag of reports", []variant{
		{"1 s", func(s *Scenario) { s.Lag = time.Second }},
		{"5 s", func(s *Scenario) { s.Lag = 5 * time.Second }},
		{"15 s", func(s *Scenario) { s.Lag = 15 * time.Second }},
		{"60 s", func(s *Scenario) { s.Lag = time.Minute }},
	})
}

func (b *Bench) noises(w io.Writer) error {
	return b.sweep(w, "Mizani: noise of reports", []variant{
		{"none", func(s *Scenario) { s.Noise = 0 }},
		{"0.1", func(s *Scenario) { s.Noise = 0.1 }},
		{"0.3", func(s *Scenario) { s.Noise = 0.3 }},
	})
}

func (b *Bench) wrongSizes(w io.Writer) error {
	return b.sweep(w, "Mizani: declared sizes and run times off by up to", []variant{
		{"nothing", func(s *Scenario) { s.DeclarationError = 1 }},
		{"4 times", func(s *Scenario) { s.DeclarationError = 4 }},
	})
}

func (b *Bench) waves(w io.Writer) error {
	return b.sweep(w, "Mizani: waves of noisy tasks", []variant{
		{"none", func(s *Scenario) { s.WaveFactor = 1 }},
		{"6 times", func(s *Scenario) { s.WaveFactor = 6 }},
	})
}

func (b *Bench) silence(w io.Writer) error {
	return b.sweep(w, "Mizani: reports of a third of the workers", []variant{
		{"stop for 10 min", func(s *Scenario) { s.SilentWorkers = true }},
	})
}

// variant is one value of a sweep.
type variant struct {
	label string
	apply func(s *Scenario)
}

func (b *Bench) sweep(w io.Writer, title string, variants []variant) error {
	var rows []*row
	for _, v := range variants {
		s := normal(Mizani(), 0)
		v.apply(&s)
		for _, name := range []string{nameEvict, namePolicy, nameOracle} {
			rows = append(rows, b.row(v.label+", "+name, name, s))
		}
	}
	return b.table(w, title, rows)
}

func (b *Bench) row(label, policy string, s Scenario) *row {
	s.Duration = b.duration
	return &row{label: label, policy: policy, scenario: s, bench: b, results: make([]Result, b.seeds)}
}

// table runs all rows, and the policies without colocation and of the oracle
// as references for each scenario. It prints one line per row.
func (b *Bench) table(w io.Writer, title string, rows []*row) error {
	references := map[string]*row{}
	all := slices.Clone(rows)
	for _, r := range rows {
		for _, name := range []string{nameNoColocation, nameOracle} {
			key := name + fmt.Sprint(r.scenario)
			if references[key] == nil {
				references[key] = b.row(name, name, r.scenario)
				all = append(all, references[key])
			}
		}
	}
	b.runAll(all)
	var out strings.Builder
	fmt.Fprintf(&out, "\n### %s\n\n", title)
	fmt.Fprintf(&out, "Seeds %d to %d, %v of virtual time, mean (least to most). Tail: p99 of each service over the one without colocation, mean over services; worst: the highest of a service. Batch: core hours an hour that count, and over the oracle's.\n\n", b.firstSeed, b.firstSeed+uint64(b.seeds)-1, b.duration)
	out.WriteString("| | tail | worst tail | batch | of oracle | evictions | out of memory | wasted | throttles | moves asked |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		key := fmt.Sprint(r.scenario)
		r.write(&out, references[nameNoColocation+key], references[nameOracle+key])
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// runAll runs every seed of every row, up to b.parallel of them concurrently.
func (b *Bench) runAll(rows []*row) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, b.parallel)
	for _, r := range rows {
		for i := range r.results {
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				s := r.scenario
				s.Seed = r.bench.firstSeed + uint64(i)
				r.results[i] = r.bench.runPolicy(r.policy, s)
			})
		}
	}
	wait.Wait()
}

func (r *row) write(out *strings.Builder, split, oracle *row) {
	fmt.Fprintf(out, "| %s", r.label)
	column := func(format string, value func(i int) float64) {
		out.WriteString(" | " + spread(format, len(r.results), value))
	}
	column("%.3f", func(i int) float64 { return mean(ratios(r.results[i].Tails, split.results[i].Tails)) })
	column("%.3f", func(i int) float64 { return slices.Max(ratios(r.results[i].Tails, split.results[i].Tails)) })
	column("%.0f", func(i int) float64 { return r.results[i].Work })
	column("%.3f", func(i int) float64 { return r.results[i].Work / oracle.results[i].Work })
	column("%.0f", func(i int) float64 { return float64(r.results[i].Evictions) })
	column("%.0f", func(i int) float64 { return float64(r.results[i].Killed) })
	column("%.1f", func(i int) float64 { return r.results[i].Wasted })
	column("%.0f", func(i int) float64 { return float64(r.results[i].Throttles) })
	column("%.0f", func(i int) float64 { return float64(r.results[i].Moves) })
	out.WriteString(" |\n")
}

// spread formats the mean, followed by the minimum and maximum if they differ.
func spread(format string, n int, value func(i int) float64) string {
	values := make([]float64, n)
	for i := range values {
		values[i] = value(i)
	}
	text := fmt.Sprintf(format, mean(values))
	least, most := fmt.Sprintf(format, slices.Min(values)), fmt.Sprintf(format, slices.Max(values))
	if least == most {
		return text
	}
	return fmt.Sprintf("%s (%s to %s)", text, least, most)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func ratios(values, bases []float64) []float64 {
	list := make([]float64, len(values))
	for i := range values {
		list[i] = values[i] / bases[i]
	}
	return list
}
