// Package capacity measures how state, processor time, memory and control
// traffic grow with the size of a site. Each quantity is measured at four or
// more sizes and fitted with a least-squares line.
//
// Usage:
//
//	err := capacity.New().Run(os.Stdout)
//
// Run prints Markdown tables. The section "state" applies records to the state
// of a zone, "control" runs the controllers of package batch in virtual time,
// and "process" starts the program itself and stand-ins of the platform as
// separate processes, and stops them at the end.
package capacity

import (
	"io"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/bench/batch"
)

// Bench runs the measurements.
type Bench struct {
	size     batch.Size
	program  string
	port     int
	window   time.Duration
	parallel int
	sections []string
}

// Option sets up a Bench.
type Option func(*Bench)

// WithSize sets the size of the site around which single quantities are varied
// (default batch.Planned).
func WithSize(s batch.Size) Option {
	return func(b *Bench) { b.size = s }
}

// WithProgram sets the path of the program to measure (default the running
// one).
func WithProgram(path string) Option {
	return func(b *Bench) { b.program = path }
}

// WithPort sets the first port that processes listen on (default 17000). They
// use up to a thousand ports from there.
func WithPort(port int) Option {
	return func(b *Bench) { b.port = port }
}

// WithWindow sets how long processes are measured at each size (default 15 s).
func WithWindow(d time.Duration) Option {
	return func(b *Bench) { b.window = d }
}

// WithParallel sets how many runs in virtual time execute concurrently
// (default 3).
func WithParallel(n int) Option {
	return func(b *Bench) { b.parallel = n }
}

// WithSections names the tables to print: state, control, process (default
// all).
func WithSections(names ...string) Option {
	return func(b *Bench) { b.sections = names }
}

// New returns a Bench.
func New(opts ...Option) *Bench {
	b := &Bench{size: batch.Planned(), port: 17000, window: 15 * time.Second, parallel: 3}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

type section struct {
	name  string
	print func(b *Bench, w io.Writer) error
}

var sections = []section{
	{"state", (*Bench).state},
	{"control", (*Bench).control},
	{"process", (*Bench).process},
}

// Run prints the selected tables.
func (b *Bench) Run(w io.Writer) error {
	for _, s := range sections {
		if len(b.sections) > 0 && !slices.Contains(b.sections, s.name) {
			continue
		}
		if err := s.print(b, w); err != nil {
			return err
		}
	}
	return nil
}
